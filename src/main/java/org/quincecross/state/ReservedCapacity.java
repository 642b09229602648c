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
import org.quincecross.reservation.DeadlineRequest;
import org.quincecross.reservation.RequestCommand;
import org.quincecross.reservation.RequestKind;
import org.quincecross.reservation.ReservableShard;
import org.quincecross.reservation.ReservationPlanner;
import org.quincecross.reservation.RunningJob;
import org.quincecross.scheduling.Headroom;

/**
 * The capacity reserved for deadline requests, derived from the records alone, so that all
 * controllers agree on it. Without open requests it costs nothing.
 */
public final class ReservedCapacity {
  private final ClusterStateCache cache;
  private final ReplicatedRecordIndex<DeadlineRequest, RequestCommand> index;
  private final ReservationPlanner reservation = new ReservationPlanner();
  private long version;

  /**
   * Creates an empty reservation.
   *
   * @param index the index of requests, which has not been filled yet
   */
  public ReservedCapacity(
      ClusterStateCache cache, ReplicatedRecordIndex<DeadlineRequest, RequestCommand> index) {
    this.cache = cache;
    this.index = index;
    cache.addListener(this::changed);
  }

  private void changed(ClusterStateCache.Changes changes) {
    if (changes.reloaded()) {
      for (DeadlineRequest known : List.copyOf(reservation.open())) {
        reservation.remove(known.reference());
      }
      index.all().forEach((id, held) -> reservation.put(held.state().withReference(id)));
      version++;
    }
    for (RecordId record : changes.replicatedRecords()) {
      if (record.kind().equals(RequestKind.NAME)) {
        clearExpectation(record.id());
      }
    }
  }

  /** Drops an expectation: the request is as its record says. */
  public void clearExpectation(String reference) {
    reservation.put(index.state(reference).withReference(reference));
    version++;
  }

  /**
   * Treats a request as changed until its record is next seen, so that the capacity of a
   * reservation under way is not given away.
   */
  public void expect(DeadlineRequest request) {
    reservation.put(request);
    version++;
  }

  /** Rises with every change of a request. */
  public long version() {
    return version;
  }

  /** The number of machines in all shards. */
  public int machines() {
    return cache.machineCount();
  }

  /** Whether no request is open. */
  public boolean isEmpty() {
    return reservation.isEmpty();
  }

  /** The headroom that each shard keeps for requests. */
  Map<ShardId, List<Headroom>> headroomByShard() {
    Map<ShardId, List<Headroom>> reserves = new HashMap<>();
    if (reservation.isEmpty()) {
      return reserves;
    }
    reservation
        .reservedByShard(new Standing().places, taken())
        .forEach(
            (shard, kept) -> {
              List<Headroom> list = new ArrayList<>();
              kept.forEach(
                  each ->
                      list.add(
                          new Headroom(
                              Headroom.Purpose.REQUESTS,
                              each.slot().resources(),
                              each.tasks(),
                              new Headroom.Beneficiary(
                                  each.slot().jobClass(), each.slot().team()))));
              reserves.put(shard, list);
            });
    return reserves;
  }

  /**
   * Plans reservations on the present records.
   *
   * @param share the share of the machines that may be reserved beyond team guarantees
   */
  public ReservationPlanner.Plan plan(Map<String, Team> teams, double share) {
    Standing standing = new Standing();
    return reservation.plan(
        standing.places, taken(), new ReservationPlanner.Limits(teams, standing.ofTeams, share));
  }

  /**
   * The running work that is not preempted for the request's job class, and the capacity beside it.
   * Spot machines, which may be taken away at any time, offer none.
   */
  private final class Standing {
    private final List<ReservableShard> places = new ArrayList<>();
    private final Map<String, Resources> ofTeams = new HashMap<>();

    Standing() {
      for (ShardLease shard : cache.shards().values()) {
        MachineType type = cache.machineTypes().get(shard.type());
        Resources inBlock = Resources.NONE;
        Set<String> lanes = new HashSet<>();
        for (Map.Entry<JobId, TaskSet> held : cache.allocation(shard.id()).tasks().entrySet()) {
          JobRecord record = cache.job(held.getKey());
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
        if (type != null && !shard.spot()) {
          places.add(
              new ReservableShard(
                  shard.id(),
                  shard.zone(),
                  type.capacity(),
                  shard.machines().size() - shard.leaving().size(),
                  inBlock,
                  lanes));
        }
      }
    }
  }

  private int notDone(JobId job, TaskSet tasks) {
    int count = 0;
    for (int index = tasks.nextMember(0); index >= 0; index = tasks.nextMember(index + 1)) {
      count += cache.isCompleted(job, index) ? 0 : 1;
    }
    return count;
  }

  /** The jobs of classes that requests name, and the zones of their tasks. */
  private List<RunningJob> taken() {
    Set<String> lanes = reservation.jobClasses();
    List<RunningJob> jobs = new ArrayList<>();
    for (JobRecord record : cache.openJobs()) {
      if (lanes.contains(record.job().jobClass()) && !cache.shardsOf(record.id()).isEmpty()) {
        Map<String, Integer> zones = new HashMap<>();
        for (ShardId id : cache.shardsOf(record.id())) {
          ShardLease shard = cache.shard(id);
          int tasks =
              shard == null
                  ? 0
                  : notDone(
                      record.id(),
                      cache.allocation(id).tasks().getOrDefault(record.id(), new TaskSet()));
          if (tasks > 0) {
            zones.merge(shard.zone(), tasks, Integer::sum);
          }
        }
        jobs.add(new RunningJob(record.job().jobClass(), record.acceptedMs(), zones));
      }
    }
    return jobs;
  }
}
