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
import org.quincecross.reservation.DeadlineRequest;
import org.quincecross.reservation.RequestCommand;
import org.quincecross.reservation.ReservationPlanner;
import org.quincecross.scheduling.Admission;
import org.quincecross.state.RecordCommand;
import org.quincecross.state.ReplicatedRecordIndex;
import org.quincecross.state.ReplicatedRecordStore;
import org.quincecross.state.ReservedCapacity;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reserves capacity for deadline requests while this controller leads. It alone decides on
 * reservations, between two allocation plans: capacity is withheld here from the moment a
 * reservation is sent, and once it is durable, plans made without it fail by the fence.
 */
public final class ReservationManager {
  private static final Logger LOG = LoggerFactory.getLogger(ReservationManager.class);

  /**
   * Running work changes constantly; this is how often existing reservations are checked against
   * it.
   */
  private static final TimeSpan RECHECK_INTERVAL = TimeSpan.ofSeconds(1);

  /** The minimum interval between two checks after requests have changed. */
  private static final TimeSpan MIN_INTERVAL = TimeSpan.ofMillis(150);

  /**
   * The maximum number of commands sent at once: a few transactions' worth, so that the requests
   * due first are written first.
   */
  private static final int MAX_COMMANDS_AT_ONCE = 24;

  /**
   * How long a reservation may lack capacity before it is given up. When its work starts in another
   * zone than the reserved one, it lacks a slot until the next plan; giving it up at once would
   * lose all of its capacity to other work.
   */
  private static final TimeSpan LOSS_TIMEOUT = TimeSpan.ofSeconds(10);

  /** A placeholder for reserved capacity; no accepted job has this id. */
  private static final JobId PLACEHOLDER_JOB = new JobId("job-0");

  private final ReplicatedRecordStore store;
  private final ReplicatedRecordIndex<DeadlineRequest, RequestCommand> index;
  private final ReservedCapacity reservedCapacity;
  private final double share;
  private List<Admission.Unmet> unmet = List.of();
  private MonotonicTime lookedAt;
  private long seen = -1;

  /**
   * The number of machines at the last check, so that machines that have arrived are not launched
   * again.
   */
  private int machinesSeen;

  /** Since when a request's reservation has lacked capacity. */
  private final Map<String, MonotonicTime> lacksSince = new HashMap<>();

  private int underWay;

  /**
   * Creates a manager.
   *
   * @param share the share of the machines that may be reserved beyond team guarantees
   */
  public ReservationManager(
      ReplicatedRecordStore store,
      ReplicatedRecordIndex<DeadlineRequest, RequestCommand> index,
      ReservedCapacity rooms,
      double share) {
    this.store = store;
    this.index = index;
    this.reservedCapacity = rooms;
    this.share = share;
  }

  /**
   * Checks that every request has its capacity. The leader calls it before it plans, while none of
   * its transactions is in flight.
   */
  void reconcile(Map<String, Team> teams, MonotonicTime now) {
    if (reservedCapacity.isEmpty()) {
      unmet = List.of();
      return;
    }
    TimeSpan since = lookedAt == null ? RECHECK_INTERVAL : now.since(lookedAt);
    boolean machines = !unmet.isEmpty() && machinesSeen != reservedCapacity.machines();
    if (underWay > 0
        || MIN_INTERVAL.isLongerThan(since)
        || (seen == reservedCapacity.version()
            && !machines
            && RECHECK_INTERVAL.isLongerThan(since))) {
      return;
    }
    lookedAt = now;
    machinesSeen = reservedCapacity.machines();
    ReservationPlanner.Plan plan = reservedCapacity.plan(teams, share);
    lacksSince.keySet().retainAll(plan.unreservedReasons().keySet());
    plan.changes().stream()
        .filter(
            move ->
                !move.zones().isEmpty()
                    || !now.isBefore(
                        lacksSince
                            .computeIfAbsent(move.request().reference(), reference -> now)
                            .plus(LOSS_TIMEOUT)))
        .limit(MAX_COMMANDS_AT_ONCE)
        .forEach(this::send);
    unmet = unmet(plan.unplaced());
    seen = reservedCapacity.version();
  }

  private void send(ReservationPlanner.ReservationChange move) {
    String reference = move.request().reference();
    boolean loses = move.zones().isEmpty();
    RequestCommand command =
        loses
            ? new RequestCommand.LoseReservation(move.lostReason())
            : new RequestCommand.Reserve(move.zones());
    reservedCapacity.expect(move.request().apply(move));
    underWay++;
    store.submit(
        index,
        reference,
        RecordCommand.internal(command),
        answer -> {
          underWay--;
          if (!answer.isDurable() || !answer.reason().isEmpty()) {
            reservedCapacity.clearExpectation(reference);
          } else if (loses) {
            LOG.info("request {} has lost its reserved capacity: {}", reference, move.lostReason());
          }
        });
  }

  /** The demand to launch machines for: jobs without a shard, and requests without capacity. */
  List<Admission.Unmet> withReservations(List<Admission.Unmet> jobs) {
    if (unmet.isEmpty()) {
      return jobs;
    }
    List<Admission.Unmet> all = new ArrayList<>(jobs);
    all.addAll(unmet);
    return all;
  }

  private static List<Admission.Unmet> unmet(List<ReservationPlanner.Unplaced> unplaced) {
    List<Admission.Unmet> unmet = new ArrayList<>();
    for (ReservationPlanner.Unplaced each : unplaced) {
      if (each.zones().isEmpty()) {
        unmet.add(unmet(each, null, each.missing()));
      }
      Set<String> zones = new TreeSet<>(each.zones());
      zones.forEach(
          zone -> unmet.add(unmet(each, zone, (each.missing() + zones.size() - 1) / zones.size())));
    }
    return unmet;
  }

  private static Admission.Unmet unmet(ReservationPlanner.Unplaced room, String zone, int missing) {
    Resources each = room.slot().resources();
    Job job =
        Job.builder(PLACEHOLDER_JOB)
            .jobClass(room.slot().jobClass())
            .team(room.slot().team())
            .kind(JobKind.SERVICE)
            .priority(Priority.PRODUCTION)
            .taskCount(room.tasks())
            .taskResources(each)
            .zone(zone)
            .spreadOverZones(zone == null)
            .image("")
            .imageGb(0)
            .estimate(TimeSpan.ZERO)
            .build();
    return new Admission.Unmet(job, missing, zone == null ? room.found() : Map.of());
  }
}
