package org.quincecross.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.reservation.Request;
import org.quincecross.reservation.RequestCommand;
import org.quincecross.reservation.Reservation;
import org.quincecross.scheduling.Admission;
import org.quincecross.state.RecordCommand;
import org.quincecross.state.ReplicatedRecordIndex;
import org.quincecross.state.ReplicatedRecordStore;
import org.quincecross.state.ReservedCapacity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Has room reserved for requests while this controller leads. It alone decides where, between two
 * of its plans of allocations: what it has sent off is kept free from then on here, and once it is
 * durable what others have planned without it fails by the fence.
 */
public final class ReservationManager {
  private static final Logger LOG = LoggerFactory.getLogger(ReservationManager.class);

  /**
   * What runs changes all the time; whether a reservation still fits there is looked at so often.
   */
  private static final TimeSpan LOOK_EVERY = TimeSpan.ofSeconds(1);

  /** Where requests have changed, this much apart. */
  private static final TimeSpan SPACING = TimeSpan.ofMillis(150);

  /** Sent off at once: a few transactions, so that what is due first is written first. */
  private static final int MOST_AT_ONCE = 24;

  /**
   * So long what is reserved may not fit before it is given up. As its work starts, in another zone
   * than the one that kept the room, a slot is missing here and free there until the next plan;
   * given up at once, all of its room would go to whoever waits for it.
   */
  private static final TimeSpan PATIENCE = TimeSpan.ofSeconds(10);

  /** No job that is accepted has this id: it stands in the place of room that is asked for. */
  private static final JobId NO_JOB = new JobId("job-0");

  private final ReplicatedRecordStore store;
  private final ReplicatedRecordIndex<Request, RequestCommand> index;
  private final ReservedCapacity rooms;
  private final double share;
  private List<Admission.Unmet> unmet = List.of();
  private MonotonicTime lookedAt;
  private long seen = -1;

  /** How many machines there were: what has come is not to be rented once more. */
  private int machinesSeen;

  /** Since when what is reserved for a request does not fit. */
  private final Map<String, MonotonicTime> lacksSince = new HashMap<>();

  private int underWay;

  /**
   * @param share of the machines that may be reserved beyond teams' guarantees
   */
  public ReservationManager(
      ReplicatedRecordStore store,
      ReplicatedRecordIndex<Request, RequestCommand> index,
      ReservedCapacity rooms,
      double share) {
    this.store = store;
    this.index = index;
    this.rooms = rooms;
    this.share = share;
  }

  /**
   * Looks whether all has room that should; called by the leader before it plans, while nothing
   * that it planned is under way.
   */
  void look(Map<String, Team> teams, MonotonicTime now) {
    if (rooms.isEmpty()) {
      unmet = List.of();
      return;
    }
    TimeSpan since = lookedAt == null ? LOOK_EVERY : now.since(lookedAt);
    boolean machines = !unmet.isEmpty() && machinesSeen != rooms.machines();
    if (underWay > 0
        || SPACING.isLongerThan(since)
        || (seen == rooms.version() && !machines && LOOK_EVERY.isLongerThan(since))) {
      return;
    }
    lookedAt = now;
    machinesSeen = rooms.machines();
    Reservation.Plan plan = rooms.plan(teams, share);
    lacksSince.keySet().retainAll(plan.without().keySet());
    plan.moves().stream()
        .filter(
            move ->
                !move.zones().isEmpty()
                    || !now.isBefore(
                        lacksSince
                            .computeIfAbsent(move.request().reference(), reference -> now)
                            .plus(PATIENCE)))
        .limit(MOST_AT_ONCE)
        .forEach(this::send);
    unmet = unmet(plan.unplaced());
    seen = rooms.version();
  }

  private void send(Reservation.Move move) {
    String reference = move.request().reference();
    boolean loses = move.zones().isEmpty();
    RequestCommand command =
        loses ? new RequestCommand.Lose(move.without()) : new RequestCommand.Place(move.zones());
    rooms.expect(move.request().moved(move));
    underWay++;
    store.submit(
        index,
        reference,
        RecordCommand.own(command),
        answer -> {
          underWay--;
          if (!answer.isDurable() || !answer.reason().isEmpty()) {
            rooms.clearExpectation(reference);
          } else if (loses) {
            LOG.info("request {} has lost its room: {}", reference, move.without());
          }
        });
  }

  /** What is rented for: what has no block, and what should be reserved and has no room. */
  List<Admission.Unmet> with(List<Admission.Unmet> jobs) {
    if (unmet.isEmpty()) {
      return jobs;
    }
    List<Admission.Unmet> all = new ArrayList<>(jobs);
    all.addAll(unmet);
    return all;
  }

  private static List<Admission.Unmet> unmet(List<Reservation.Unplaced> unplaced) {
    List<Admission.Unmet> unmet = new ArrayList<>();
    for (Reservation.Unplaced each : unplaced) {
      if (each.zones().isEmpty()) {
        unmet.add(unmet(each, null, each.missing()));
      }
      Set<String> zones = new TreeSet<>(each.zones());
      zones.forEach(
          zone -> unmet.add(unmet(each, zone, (each.missing() + zones.size() - 1) / zones.size())));
    }
    return unmet;
  }

  private static Admission.Unmet unmet(Reservation.Unplaced room, String zone, int missing) {
    Resources each = room.slot().each();
    Job job =
        new Job(
            NO_JOB,
            room.slot().lane(),
            room.slot().team(),
            JobKind.SERVICE,
            Priority.PRODUCTION,
            room.tasks(),
            each,
            null,
            zone,
            false,
            zone == null,
            false,
            "",
            0,
            TimeSpan.ZERO,
            TimeSpan.ZERO,
            TimeSpan.ZERO,
            null);
    return new Admission.Unmet(job, missing, zone == null ? room.found() : Map.of());
  }
}
