package org.quincecross.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.quincecross.dependency.DependencyGraph;
import org.quincecross.model.ControllerId;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.RecordId;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Feature;
import org.quincecross.rollout.FeatureLevel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's cached copy of all records, as of {@link #revision()}. Only the {@link
 * StateWatcher} modifies it.
 */
public final class ClusterStateCache {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterStateCache.class);

  /** The jobs, shards and replicated records touched by a batch of changes. */
  public record Changes(
      Set<JobId> jobs, Set<ShardId> shards, Set<RecordId> replicatedRecords, boolean reloaded) {}

  /** Notified after every batch of changes. */
  public interface Listener {
    /** Called after a batch of changes was applied. */
    void changed(Changes changes);
  }

  private final Map<String, Revision> versions = new HashMap<>();
  private final JobIndex jobs =
      new JobIndex(id -> versions.containsKey(StoreKeys.job(id)), this::touchJob);
  private final CompletedTaskTable completedTasks = new CompletedTaskTable();
  private final Map<ShardId, ShardLease> shards = new TreeMap<>();

  /** The same shards by hash: lookups are far too frequent for an ordered map. */
  private final Map<ShardId, ShardLease> shardById = new HashMap<>();

  private final AllocationTable allocations = new AllocationTable();
  private final Map<MachineId, ShardLease> shardOf = new HashMap<>();
  private final Map<ControllerId, ControllerRecord> members = new TreeMap<>();
  private final Map<String, MachineType> machineTypes = new TreeMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final Map<String, String> unreadable = new TreeMap<>();
  private final ReplicatedRecordIndexes replicatedRecords = new ReplicatedRecordIndexes();
  private ControllerRecord firstLevelLeader;
  private ControllerRecord movedLeader;
  private FeatureLevelRecord level = FeatureLevelRecord.NONE;
  private Object operatorSettings;
  private Revision revision = Revision.NONE;
  private boolean loaded;

  private Set<JobId> touchedJobs = new HashSet<>();
  private Set<ShardId> touchedShards = new HashSet<>();
  private Set<RecordId> touchedRecords = new HashSet<>();
  private boolean touchedOther;

  /** Adds a listener; listeners are notified in the order in which they were added. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Whether all records have been read at least once. */
  public boolean isLoaded() {
    return loaded;
  }

  /** The revision that the cache is current as of. */
  public Revision revision() {
    return revision;
  }

  /** The version of a key, {@link Revision#NONE} if it does not exist. */
  public Revision version(String key) {
    return versions.getOrDefault(key, Revision.NONE);
  }

  /**
   * A job with everything derived from its dependencies. A job cancelled because of a dependency
   * has the version of that cancellation rather than that of its own key ({@link #version}).
   */
  public JobRecord job(JobId id) {
    return jobs.job(id);
  }

  /**
   * A job exactly as its own record describes it, or null: without derived cancellation and
   * inherited urgency.
   */
  public JobRecord storedJob(JobId id) {
    return jobs.storedJob(id);
  }

  /** The dependency graph of all jobs. */
  public DependencyGraph dependencyGraph() {
    return jobs.dependencyGraph();
  }

  /**
   * The time of day since which an open job has been runnable: its acceptance, or the end of its
   * last dependency.
   */
  public long runnableSinceMs(JobRecord record) {
    return jobs.runnableSinceMs(record);
  }

  /** Whether a part of a dependency list is stored. */
  public boolean hasDependencyPart(String key) {
    return jobs.hasPart(key.substring(StoreKeys.DEPENDENCY_PARTS.length()));
  }

  /** The ids of all jobs, including terminated ones. */
  public Set<JobId> jobs() {
    return jobs.ids();
  }

  /** The number of all jobs, including terminated ones. */
  public int jobCount() {
    return jobs.ids().size();
  }

  /** The bundles in which every job has a record of its own by now. */
  public List<String> obsoleteBundles() {
    return jobs.obsoleteBundles();
  }

  /** The open jobs in the order of their acceptance. */
  public Iterable<JobRecord> openJobs() {
    return jobs.open();
  }

  /** Whether a task of a job is completed. */
  public boolean isCompleted(JobId job, int index) {
    return completedTasks.isCompleted(job, index);
  }

  /** A copy of the set of a job's completed tasks. */
  public TaskSet completedTasks(JobId job) {
    return completedTasks.completedTasks(job);
  }

  /** The number of a job's completed tasks. */
  public int completedCount(JobId job) {
    return completedTasks.completedCount(job);
  }

  /** The pages of completed tasks with their stored content. */
  public Map<Integer, Map<JobId, TaskSet>> completedPages() {
    return completedTasks.pages();
  }

  /** Whether a job has completed tasks in chunks of its own. */
  public boolean hasCompletedChunks(JobId job) {
    return completedTasks.hasChunks(job);
  }

  /** All shards in the order of their ids. */
  public Map<ShardId, ShardLease> shards() {
    return shards;
  }

  /** The lease of a shard, or null if there is no such shard. */
  public ShardLease shard(ShardId id) {
    return shardById.get(id);
  }

  /** The shards whose allocations contain tasks of a job. */
  public Set<ShardId> shardsOf(JobId job) {
    return allocations.shardsOf(job);
  }

  /** The tasks allocated to a shard. */
  public Allocation allocation(ShardId shard) {
    return allocations.allocation(shard);
  }

  /** The shards with an allocation, including shards that no longer exist. */
  public Set<ShardId> allocatedShards() {
    return allocations.allocatedShards();
  }

  /** The shard that a machine belongs to, or null. */
  public ShardLease shardOf(MachineId machine) {
    return shardOf.get(machine);
  }

  /** The number of machines in all shards. */
  public int machineCount() {
    return shardOf.size();
  }

  /** The live controllers. */
  public Map<ControllerId, ControllerRecord> members() {
    return members;
  }

  /** The limits that each controller announces and that have to be equal on all. */
  public Map<ControllerId, AnnouncedLimits> announcedLimits() {
    Map<ControllerId, AnnouncedLimits> terms = new TreeMap<>();
    members.values().forEach(member -> terms.put(member.id(), member.announcedLimits()));
    return terms;
  }

  /** The leader; its version is that of the leadership. Null if there is none. */
  public ControllerRecord leader() {
    return Feature.LEADERSHIP_MOVED.isEnabledAt(level.level()) ? movedLeader : firstLevelLeader;
  }

  /** The key that names the leader at the feature level in force. */
  public String leaderKey() {
    return leaderKey(level.level());
  }

  /** The key that names the leader at a feature level. */
  public static String leaderKey(FeatureLevel level) {
    return Feature.LEADERSHIP_MOVED.isEnabledAt(level) ? StoreKeys.MOVED_LEADER : StoreKeys.LEADER;
  }

  /** The indexes of replicated records, one for each registered kind. */
  public ReplicatedRecordIndexes replicatedRecords() {
    return replicatedRecords;
  }

  /** The feature level in force and the revision at which it took effect. */
  public FeatureLevelRecord level() {
    return level;
  }

  /**
   * The records that could not be read, with the reasons. A controller with unreadable records must
   * not act on the others, because its view of the cluster is incomplete.
   */
  public Map<String, String> unreadable() {
    return unreadable;
  }

  /** The last full record of a shard's allocation, without its delta. */
  public Allocation wholeAllocation(ShardId shard) {
    return allocations.fullRecord(shard);
  }

  /** The shards with a stored allocation delta. */
  public Set<ShardId> allocationsWithDelta() {
    return allocations.shardsWithDelta();
  }

  /** The known machine types by name. */
  public Map<String, MachineType> machineTypes() {
    return machineTypes;
  }

  /**
   * The operators' settings, or the defaults if a newer build wrote a form that cannot be read:
   * continuing is safer than guessing.
   */
  public OperatorSettings operatorSettingsOrDefaults() {
    try {
      return operatorSettings == null
          ? OperatorSettings.DEFAULTS
          : OperatorSettings.readRecord(operatorSettings, OperatorSettings.DEFAULTS);
    } catch (MalformedMessageException e) {
      return OperatorSettings.DEFAULTS;
    }
  }

  /** The stored operators' settings as they were read, or null. */
  public Object operatorSettings() {
    return operatorSettings;
  }

  /** Replaces the cache's content with a full read of the store. */
  void load(Map<String, StateEntry> entries, Revision at) {
    for (String key : List.copyOf(versions.keySet())) {
      if (!entries.containsKey(key)) {
        put(key, null, Revision.NONE);
      }
    }
    entries.forEach((key, entry) -> put(key, entry.value(), entry.version()));
    revision = at;
    loaded = true;
    publish(true);
  }

  /** A value and its version, as read from the store. */
  record StateEntry(Object value, Revision version) {}

  /** Applies one change; {@code value} is null if the key was deleted. */
  void apply(String key, Object value, Revision version) {
    put(key, value, version);
  }

  /** Marks all changes up to a revision as applied and notifies the listeners. */
  void advance(Revision to) {
    if (to.isAfter(revision)) {
      revision = to;
    }
    if (!touchedJobs.isEmpty() || !touchedShards.isEmpty() || touchedOther) {
      publish(false);
    }
  }

  private void publish(boolean reloaded) {
    Changes changes = new Changes(touchedJobs, touchedShards, touchedRecords, reloaded);
    touchedJobs = new HashSet<>();
    touchedRecords = new HashSet<>();
    touchedShards = new HashSet<>();
    touchedOther = false;
    for (Listener listener : listeners) {
      listener.changed(changes);
    }
  }

  private void put(String key, Object value, Revision version) {
    if (value == null) {
      versions.remove(key);
      unreadable.remove(key);
    } else {
      versions.put(key, version);
    }
    try {
      dispatch(key, value, version);
      if (!unreadable.isEmpty()) {
        unreadable.remove(key);
      }
    } catch (MalformedMessageException e) {
      // An unreadable record keeps its last readable content: it must neither end the process nor
      // pass for another. A controller that skipped a record has an incomplete view and neither
      // leads nor owns shards until it can read it (Membership.State.INCOMPATIBLE).
      LOG.error("record {} cannot be read and is skipped: {}", key, e.getMessage());
      if (isEssential(key)) {
        unreadable.put(key, e.getMessage());
        touchedOther = true;
      }
    }
  }

  private void dispatch(String key, Object value, Revision version)
      throws MalformedMessageException {
    if (key.startsWith(StoreKeys.JOBS)) {
      putJob(suffix(key, StoreKeys.JOBS), value, version);
    } else if (key.startsWith(StoreKeys.BUNDLES)) {
      jobs.putBundle(key, value, version);
    } else if (key.startsWith(StoreKeys.DEPENDENCY_PARTS)) {
      jobs.putPart(suffix(key, StoreKeys.DEPENDENCY_PARTS), value);
    } else if (key.startsWith(StoreKeys.COMPLETED_CHUNKS)) {
      completedTasks.putChunk(suffix(key, StoreKeys.COMPLETED_CHUNKS), value, touchedJobs::add);
    } else if (key.startsWith(StoreKeys.COMPLETED_PAGES)) {
      completedTasks.putPage(suffix(key, StoreKeys.COMPLETED_PAGES), value, jobs, touchedJobs::add);
    } else if (key.startsWith(StoreKeys.SHARDS)) {
      putShard(new ShardId(suffix(key, StoreKeys.SHARDS)), value, version);
    } else if (key.startsWith(StoreKeys.ALLOCATIONS)) {
      ShardId shard = new ShardId(suffix(key, StoreKeys.ALLOCATIONS));
      allocations.putFullRecord(shard, value, version);
      touchedShards.add(shard);
    } else if (key.startsWith(StoreKeys.ALLOCATION_DELTAS)) {
      ShardId shard = new ShardId(suffix(key, StoreKeys.ALLOCATION_DELTAS));
      allocations.putDelta(shard, value, version);
      touchedShards.add(shard);
    } else if (key.startsWith(StoreKeys.REPLICATED)) {
      touchedOther = true;
      RecordId record = replicatedRecords.put(key, value, version);
      if (record != null) {
        touchedRecords.add(record);
      }
    } else {
      touchedOther = true;
      putOther(key, value, version);
    }
  }

  private static String suffix(String key, String prefix) {
    return key.substring(prefix.length());
  }

  /** Whether a record is needed to know what runs where, or how other records are to be read. */
  private boolean isEssential(String key) {
    return key.startsWith(StoreKeys.REPLICATED)
        ? replicatedRecords.isEssential(key)
        : key.equals(StoreKeys.LEVEL)
            || Stream.of(
                    StoreKeys.JOBS,
                    StoreKeys.BUNDLES,
                    StoreKeys.DEPENDENCY_PARTS,
                    StoreKeys.COMPLETED_CHUNKS,
                    StoreKeys.COMPLETED_PAGES,
                    StoreKeys.SHARDS,
                    StoreKeys.ALLOCATIONS,
                    StoreKeys.ALLOCATION_DELTAS)
                .anyMatch(key::startsWith);
  }

  private void putJob(String name, Object value, Revision version)
      throws MalformedMessageException {
    JobId id = JobId.parse(name);
    if (id == null || value == null) {
      return;
    }
    jobs.put(id, value, version);
  }

  private void touchJob(JobId id) {
    if (jobs.isDone(id)) {
      completedTasks.jobDone(id);
    }
    touchedJobs.add(id);
  }

  // A machine may belong to a newer lease by now: the instance tells.
  @SuppressWarnings("ReferenceEquality")
  private void putShard(ShardId id, Object value, Revision version)
      throws MalformedMessageException {
    ShardLease lease = value == null ? null : ShardLease.read(id, value, version);
    touchedShards.add(id);
    ShardLease before = lease == null ? shards.remove(id) : shards.put(id, lease);
    if (before != null) {
      before
          .machines()
          .keySet()
          .forEach(
              machine ->
                  shardOf.computeIfPresent(machine, (m, shard) -> shard == before ? null : shard));
    }
    if (lease == null) {
      shardById.remove(id);
    } else {
      shardById.put(id, lease);
      lease.machines().keySet().forEach(machine -> shardOf.put(machine, lease));
    }
  }

  private void putOther(String key, Object value, Revision version)
      throws MalformedMessageException {
    if (key.startsWith(StoreKeys.MEMBERS)) {
      if (value == null) {
        members.values().removeIf(member -> StoreKeys.member(member.id()).equals(key));
      } else {
        ControllerRecord member = ControllerRecord.read(value, version);
        members.put(member.id(), member);
      }
    } else if (key.equals(StoreKeys.LEADER)) {
      firstLevelLeader = value == null ? null : ControllerRecord.read(value, version);
    } else if (key.equals(StoreKeys.MOVED_LEADER)) {
      movedLeader = value == null ? null : ControllerRecord.read(value, version);
    } else if (key.equals(StoreKeys.LEVEL)) {
      level = value == null ? FeatureLevelRecord.NONE : FeatureLevelRecord.read(value, version);
    } else if (key.startsWith(StoreKeys.MACHINE_TYPES) && value != null) {
      for (MachineType type : CloudCodec.readCatalog(JsonFields.of(value, "a machine type"))) {
        machineTypes.put(type.name(), type);
      }
    } else if (key.equals(StoreKeys.OPERATOR_SETTINGS)) {
      operatorSettings = value;
    }
  }
}
