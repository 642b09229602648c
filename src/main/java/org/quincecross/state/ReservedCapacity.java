package org.quincecross.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineType;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;
import org.quincecross.replicated.RecordId;
import org.quincecross.reservation.Place;
import org.quincecross.reservation.Request;
import org.quincecross.reservation.RequestCommand;
import org.quincecross.reservation.RequestKind;
import org.quincecross.reservation.Reservation;
import org.quincecross.reservation.Taken;
import org.quincecross.scheduling.Headroom;

/**
 * The room that is kept for requests, as the ledger has it: each controller that has read the same
 * records says the same. It costs nothing while there is no open request.
 */
public final class ReservedCapacity {
  private final ClusterStateCache ledger;
  private final ReplicatedRecordIndex<Request, RequestCommand> book;
  private final Reservation reservation = new Reservation();
  private long version;

  /**
   * @param book of the requests, which has read none yet
   */
  public ReservedCapacity(
      ClusterStateCache ledger, ReplicatedRecordIndex<Request, RequestCommand> book) {
    this.ledger = ledger;
    this.book = book;
    ledger.listen(this::changed);
  }

  private void changed(ClusterStateCache.Changes changes) {
    if (changes.reloaded()) {
      for (Request known : List.copyOf(reservation.open())) {
        reservation.remove(known.reference());
      }
      book.all().forEach((id, held) -> reservation.put(held.state().named(id)));
      version++;
    }
    for (RecordId record : changes.agreed()) {
      if (record.kind().equals(RequestKind.NAME)) {
        asRecorded(record.id());
      }
    }
  }

  /** A request is as its record says. */
  public void asRecorded(String reference) {
    reservation.put(book.state(reference).named(reference));
    version++;
  }

  /**
   * A request is taken to be so until its record is next seen: who has sent a reservation off gives
   * its room to nobody while it is under way.
   */
  public void expect(Request request) {
    reservation.put(request);
    version++;
  }

  /** Rises with every change of a request. */
  public long version() {
    return version;
  }

  /** How many machines there are in blocks. */
  public int machines() {
    return ledger.machineCount();
  }

  public boolean isEmpty() {
    return reservation.isEmpty();
  }

  /** What each block keeps free for requests. */
  Map<ShardId, List<Headroom>> reserves() {
    Map<ShardId, List<Headroom>> reserves = new HashMap<>();
    if (reservation.isEmpty()) {
      return reserves;
    }
    reservation
        .kept(new Standing().places, taken())
        .forEach(
            (block, kept) -> {
              List<Headroom> list = new ArrayList<>();
              kept.forEach(
                  each ->
                      list.add(
                          new Headroom(
                              Headroom.Purpose.REQUESTS,
                              each.slot().each(),
                              each.tasks(),
                              new Headroom.For(each.slot().lane(), each.slot().team()))));
              reserves.put(block, list);
            });
    return reserves;
  }

  /**
   * What should be reserved, by the ledger as it is.
   *
   * @param share of the machines that may be reserved beyond teams' guarantees
   */
  public Reservation.Plan plan(Map<String, Team> teams, double share) {
    Standing standing = new Standing();
    return reservation.plan(
        standing.places, taken(), new Reservation.Limits(teams, standing.ofTeams, share));
  }

  /**
   * What runs that makes no way for the front service, and the room beside it. Spot machines, which
   * go at any time, have none.
   */
  private final class Standing {
    private final List<Place> places = new ArrayList<>();
    private final Map<String, Resources> ofTeams = new HashMap<>();

    Standing() {
      for (ShardLease block : ledger.blocks().values()) {
        MachineType type = ledger.types().get(block.type());
        Resources inBlock = Resources.NONE;
        Set<String> lanes = new HashSet<>();
        for (Map.Entry<JobId, TaskSet> held : ledger.allocation(block.id()).tasks().entrySet()) {
          JobRecord record = ledger.job(held.getKey());
          Job job = record == null ? null : record.job();
          if (job == null) {
            continue;
          }
          lanes.add(job.jobClass());
          if (job.priority() == Priority.PRODUCTION || job.kind() == JobKind.GANG) {
            Resources use = job.taskResources().times(notDone(job.id(), held.getValue()));
            inBlock = inBlock.plus(use);
            ofTeams.merge(job.team(), use, Resources::plus);
          }
        }
        if (type != null && !block.spot()) {
          places.add(
              new Place(
                  block.id(),
                  block.zone(),
                  type.capacity(),
                  block.machines().size() - block.leaving().size(),
                  inBlock,
                  lanes));
        }
      }
    }
  }

  private int notDone(JobId job, TaskSet tasks) {
    int count = 0;
    for (int index = tasks.nextMember(0); index >= 0; index = tasks.nextMember(index + 1)) {
      count += ledger.isDone(job, index) ? 0 : 1;
    }
    return count;
  }

  /** The jobs of lanes that requests name, and where their tasks are. */
  private List<Taken> taken() {
    Set<String> lanes = reservation.lanes();
    List<Taken> taken = new ArrayList<>();
    for (JobRecord record : ledger.openJobs()) {
      if (lanes.contains(record.job().jobClass()) && !ledger.blocksOf(record.id()).isEmpty()) {
        Map<String, Integer> zones = new HashMap<>();
        for (ShardId id : ledger.blocksOf(record.id())) {
          ShardLease block = ledger.block(id);
          int tasks =
              block == null
                  ? 0
                  : notDone(
                      record.id(),
                      ledger.allocation(id).tasks().getOrDefault(record.id(), new TaskSet()));
          if (tasks > 0) {
            zones.merge(block.zone(), tasks, Integer::sum);
          }
        }
        taken.add(new Taken(record.job().jobClass(), record.acceptedMs(), zones));
      }
    }
    return taken;
  }
}
