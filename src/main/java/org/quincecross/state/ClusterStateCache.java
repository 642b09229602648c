package org.quincecross.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.quincecross.dependency.DependencyGraph;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.RecordId;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;
import org.quincecross.rollout.Feature;
import org.quincecross.rollout.FeatureLevel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's copy of the records, as of {@link #revision()}. Changed by the {@link
 * StateWatcher} alone.
 */
public final class ClusterStateCache {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterStateCache.class);

  /** What a batch of changes touched; {@code agreed}: the records that all controllers follow. */
  public record Changes(
      Set<JobId> jobs, Set<ShardId> blocks, Set<RecordId> agreed, boolean reloaded) {}

  /** Told after every batch. */
  public interface Listener {
    void changed(Changes changes);
  }

  private final Map<String, Revision> versions = new HashMap<>();
  private final JobIndex jobs =
      new JobIndex(id -> versions.containsKey(StoreKeys.job(id)), this::touchJob);
  private final Map<JobId, Map<Integer, TaskSet>> done = new HashMap<>();
  private final Map<Integer, Map<JobId, TaskSet>> pages = new TreeMap<>();
  private final Map<JobId, TaskSet> paged = new HashMap<>();
  private final Map<ShardId, ShardLease> blocks = new TreeMap<>();

  /** The same again: what is asked for many times a second is not to be searched for in order. */
  private final Map<ShardId, ShardLease> blockById = new HashMap<>();

  /** As they are, with what has changed since their last whole record. */
  private final Map<ShardId, Allocation> allocations = new HashMap<>();

  private final Map<ShardId, Allocation> wholeAllocations = new HashMap<>();
  private final Map<ShardId, AllocationDelta> allocationChanges = new HashMap<>();
  private final Map<JobId, Set<ShardId>> allocatedTo = new HashMap<>();
  private final Map<MachineId, ShardLease> blockOf = new HashMap<>();
  private final Map<ControllerId, ControllerRecord> members = new TreeMap<>();
  private final Map<String, MachineType> types = new TreeMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final Map<String, String> unreadable = new TreeMap<>();
  private final ReplicatedRecordIndexes agreed = new ReplicatedRecordIndexes();
  private ControllerRecord leader;
  private ControllerRecord leads;
  private FeatureLevelRecord level = FeatureLevelRecord.NONE;
  private Object operatorSettings;
  private Revision revision = Revision.NONE;
  private boolean loaded;

  private Set<JobId> touchedJobs = new HashSet<>();
  private Set<ShardId> touchedBlocks = new HashSet<>();
  private Set<RecordId> touchedAgreed = new HashSet<>();
  private boolean touchedOther;

  public void listen(Listener listener) {
    listeners.add(listener);
  }

  /** Whether the records have been read at all. */
  public boolean isLoaded() {
    return loaded;
  }

  public Revision revision() {
    return revision;
  }

  /** The version of a key, {@link Revision#NONE} if there is no such key. */
  public Revision version(String key) {
    return versions.getOrDefault(key, Revision.NONE);
  }

  /**
   * A job as it stands. One that is cancelled because a job before it is has the version from which
   * on it is, which is not that of its own key ({@link #version}).
   */
  public JobRecord job(JobId id) {
    return jobs.job(id);
  }

  /**
   * A job as its own record says, neither cancelled with another nor as urgent as those that need
   * it; null where there is none.
   */
  public JobRecord asRecorded(JobId id) {
    return jobs.asRecorded(id);
  }

  /** Which jobs wait for which. */
  public DependencyGraph pipelines() {
    return jobs.pipelines();
  }

  /**
   * The time of day from which on an open job can run: its acceptance, or the end of the last job
   * that it waits on.
   */
  public long readyMs(JobRecord record) {
    return jobs.readyMs(record);
  }

  /** Whether a part of what jobs wait on is on record. */
  public boolean hasPart(String key) {
    return jobs.hasPart(key.substring(StoreKeys.AFTER.length()));
  }

  /** All jobs, those that are over among them. */
  public Set<JobId> jobs() {
    return jobs.ids();
  }

  public int jobCount() {
    return jobs.ids().size();
  }

  /** The bundles of accepted jobs of which every job has a record of its own by now. */
  public List<String> spentBundles() {
    return jobs.spentBundles();
  }

  /** The open jobs, first accepted first. */
  public Iterable<JobRecord> openJobs() {
    return jobs.open();
  }

  public boolean isDone(JobId job, int index) {
    TaskSet onPage = paged.get(job);
    if (onPage != null && onPage.contains(index)) {
      return true;
    }
    Map<Integer, TaskSet> chunks = done.get(job);
    TaskSet chunk = chunks == null ? null : chunks.get(index / CompletedTasks.CHUNK);
    return chunk != null && chunk.contains(index);
  }

  /** A copy of the set of a job's done tasks. */
  public TaskSet doneTasks(JobId job) {
    TaskSet all = paged.containsKey(job) ? paged.get(job).copy() : new TaskSet();
    done.getOrDefault(job, Map.of()).values().forEach(all::addAll);
    return all;
  }

  public int doneCount(JobId job) {
    TaskSet onPage = paged.get(job);
    Map<Integer, TaskSet> chunks = done.get(job);
    return chunks == null ? onPage == null ? 0 : onPage.size() : doneTasks(job).size();
  }

  /** The pages of done tasks, each with what its record has now. */
  public Map<Integer, Map<JobId, TaskSet>> pages() {
    return pages;
  }

  /** Whether a job has done tasks in chunks of its own. */
  public boolean hasChunks(JobId job) {
    return done.containsKey(job);
  }

  /** All blocks, in the order of their ids. */
  public Map<ShardId, ShardLease> blocks() {
    return blocks;
  }

  /** A block, or null if there is none of that id. */
  public ShardLease block(ShardId id) {
    return blockById.get(id);
  }

  /** The blocks whose allocations name tasks of a job. */
  public Set<ShardId> blocksOf(JobId job) {
    return allocatedTo.getOrDefault(job, Set.of());
  }

  public Allocation allocation(ShardId block) {
    return allocations.getOrDefault(block, Allocation.EMPTY);
  }

  /** Blocks that have an allocation, also where the block itself is gone. */
  public Set<ShardId> allocatedBlocks() {
    return allocations.keySet();
  }

  public ShardLease blockOf(MachineId machine) {
    return blockOf.get(machine);
  }

  /** How many machines are in blocks. */
  public int machineCount() {
    return blockOf.size();
  }

  public Map<ControllerId, ControllerRecord> members() {
    return members;
  }

  /** What each member announces that has to be the same on all. */
  public Map<ControllerId, AnnouncedLimits> terms() {
    Map<ControllerId, AnnouncedLimits> terms = new TreeMap<>();
    members.values().forEach(member -> terms.put(member.member(), member.terms()));
    return terms;
  }

  /** The leading controller; its version is that of the leadership. Null where there is none. */
  public ControllerRecord leader() {
    return Feature.LEADERSHIP_MOVED.isIn(level.level()) ? leads : leader;
  }

  /** Where it is written who leads, at the level in force. */
  public String leaderKey() {
    return leaderKey(level.level());
  }

  /** Where it is written at a level who leads. */
  public static String leaderKey(FeatureLevel level) {
    return Feature.LEADERSHIP_MOVED.isIn(level) ? StoreKeys.LEADS : StoreKeys.LEADER;
  }

  /** The records that all controllers follow, of the kinds that have been added. */
  public ReplicatedRecordIndexes agreed() {
    return agreed;
  }

  /** The level in force, and with which revision it took effect. */
  public FeatureLevelRecord level() {
    return level;
  }

  /**
   * The records that could not be read, each with the reason. Whoever has one of them must not act
   * on the others: what it takes for the state of things is not.
   */
  public Map<String, String> unreadable() {
    return unreadable;
  }

  /** The last whole record of a block's tasks, without what has changed since. */
  public Allocation wholeAllocation(ShardId block) {
    return wholeAllocations.getOrDefault(block, Allocation.EMPTY);
  }

  /** The blocks of which a change is on record. */
  public Set<ShardId> changedAllocations() {
    return allocationChanges.keySet();
  }

  public Map<String, MachineType> types() {
    return types;
  }

  /**
   * The operators' settings; the defaults where a later version wrote what cannot be read: better
   * to go on than to guess.
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

  public Object operatorSettings() {
    return operatorSettings;
  }

  /** Takes a whole reading of the records in place of what was known. */
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

  /** A value and its version, in a reading of the records. */
  record StateEntry(Object value, Revision version) {}

  /** Takes one change; {@code value} is null where the key is gone. */
  void apply(String key, Object value, Revision version) {
    put(key, value, version);
  }

  /** The changes up to here have all been taken. */
  void advance(Revision to) {
    if (to.isAfter(revision)) {
      revision = to;
    }
    if (!touchedJobs.isEmpty() || !touchedBlocks.isEmpty() || touchedOther) {
      publish(false);
    }
  }

  private void publish(boolean reloaded) {
    Changes changes = new Changes(touchedJobs, touchedBlocks, touchedAgreed, reloaded);
    touchedJobs = new HashSet<>();
    touchedAgreed = new HashSet<>();
    touchedBlocks = new HashSet<>();
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
      if (key.startsWith(StoreKeys.JOBS)) {
        putJob(key.substring(StoreKeys.JOBS.length()), value, version);
      } else if (key.startsWith(StoreKeys.BUNDLES)) {
        jobs.putBundle(key, value, version);
      } else if (key.startsWith(StoreKeys.AFTER)) {
        jobs.putPart(key.substring(StoreKeys.AFTER.length()), value);
      } else if (key.startsWith(StoreKeys.DONE)) {
        putDone(key.substring(StoreKeys.DONE.length()), value);
      } else if (key.startsWith(StoreKeys.PAGES)) {
        putPage(key.substring(StoreKeys.PAGES.length()), value);
      } else if (key.startsWith(StoreKeys.BLOCKS)) {
        putBlock(new ShardId(key.substring(StoreKeys.BLOCKS.length())), value, version);
      } else if (key.startsWith(StoreKeys.ALLOCATIONS)) {
        ShardId block = new ShardId(key.substring(StoreKeys.ALLOCATIONS.length()));
        set(wholeAllocations, block, value == null ? null : Allocation.read(value, version));
        putAllocation(block);
      } else if (key.startsWith(StoreKeys.CHANGED_ALLOCATIONS)) {
        ShardId block = new ShardId(key.substring(StoreKeys.CHANGED_ALLOCATIONS.length()));
        set(allocationChanges, block, value == null ? null : AllocationDelta.read(value, version));
        putAllocation(block);
      } else if (key.startsWith(StoreKeys.AGREED)) {
        touchedOther = true;
        RecordId record = agreed.put(key, value, version);
        if (record != null) {
          touchedAgreed.add(record);
        }
      } else {
        touchedOther = true;
        putOther(key, value, version);
      }
      if (!unreadable.isEmpty()) {
        unreadable.remove(key);
      }
    } catch (MalformedMessageException e) {
      // A record that cannot be read is left as it was: it must not end the process or pass for
      // another. Whoever skipped one
      // has a wrong picture, and neither leads nor holds until it can be read
      // (Membership.State.UNABLE).
      LOG.error("record {} skipped: {}", key, e.getMessage());
      if (isEssential(key)) {
        unreadable.put(key, e.getMessage());
        touchedOther = true;
      }
    }
  }

  /** Whether a record says what runs where, or how the others are to be read. */
  private boolean isEssential(String key) {
    return key.startsWith(StoreKeys.AGREED)
        ? agreed.isEssential(key)
        : key.equals(StoreKeys.LEVEL)
            || Stream.of(
                    StoreKeys.JOBS,
                    StoreKeys.BUNDLES,
                    StoreKeys.AFTER,
                    StoreKeys.DONE,
                    StoreKeys.PAGES,
                    StoreKeys.BLOCKS,
                    StoreKeys.ALLOCATIONS,
                    StoreKeys.CHANGED_ALLOCATIONS)
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
    if (jobs.job(id).phase() == JobPhase.DONE) {
      paged.remove(id); // all of it is done: nobody asks for the parts
    }
    touchedJobs.add(id);
  }

  private void putDone(String name, Object value) throws MalformedMessageException {
    int slash = name.indexOf('/');
    JobId id = slash < 0 ? null : JobId.parse(name.substring(0, slash));
    if (id == null || name.length() - slash > 6 || !name.substring(slash + 1).matches("[0-9]+")) {
      throw new MalformedMessageException("bad key");
    }
    int chunk = Integer.parseInt(name.substring(slash + 1));
    touchedJobs.add(id);
    Map<Integer, TaskSet> chunks = done.computeIfAbsent(id, j -> new LinkedHashMap<>());
    if (value == null) {
      chunks.remove(chunk);
      if (chunks.isEmpty()) {
        done.remove(id);
      }
    } else {
      chunks.put(chunk, CompletedTasks.read(value, chunk));
    }
  }

  /**
   * A done task stays done, also where its job has left the page: it does so only once it is over.
   */
  private void putPage(String name, Object value) throws MalformedMessageException {
    if (!name.matches("[0-9]{1,6}") || value == null) {
      throw new MalformedMessageException("bad key");
    }
    Map<JobId, TaskSet> sets = TaskSetCodec.read(JsonFields.of(value, "a page").fields("jobs"));
    pages.put(Integer.parseInt(name), sets);
    sets.forEach(
        (job, set) -> {
          if (jobs.job(job) != null && jobs.job(job).phase() == JobPhase.DONE) {
            return;
          }
          TaskSet known = paged.computeIfAbsent(job, id -> new TaskSet());
          int before = known.size();
          known.addAll(set);
          if (known.size() != before) {
            touchedJobs.add(job);
          }
        });
  }

  private static <T> void set(Map<ShardId, T> all, ShardId block, T value) {
    if (value == null) {
      all.remove(block);
    } else {
      all.put(block, value);
    }
  }

  private void putAllocation(ShardId block) {
    touchedBlocks.add(block);
    Allocation whole = wholeAllocations.get(block);
    AllocationDelta change = whole == null ? null : allocationChanges.get(block);
    Allocation next = change == null ? whole : change.over(whole);
    Allocation before = next == null ? allocations.remove(block) : allocations.put(block, next);
    if (next != null) {
      next.tasks()
          .keySet()
          .forEach(job -> allocatedTo.computeIfAbsent(job, id -> new HashSet<>(4)).add(block));
    }
    if (before != null) {
      for (JobId job : before.tasks().keySet()) {
        if (next == null || !next.tasks().containsKey(job)) {
          allocatedTo.computeIfPresent(
              job, (id, there) -> there.remove(block) && there.isEmpty() ? null : there);
        }
      }
    }
  }

  // A machine may be in a newer lease by now: the instance tells.
  @SuppressWarnings("ReferenceEquality")
  private void putBlock(ShardId id, Object value, Revision version)
      throws MalformedMessageException {
    ShardLease lease = value == null ? null : ShardLease.read(id, value, version);
    touchedBlocks.add(id);
    ShardLease before = lease == null ? blocks.remove(id) : blocks.put(id, lease);
    if (before != null) {
      before
          .machines()
          .keySet()
          .forEach(
              machine ->
                  blockOf.computeIfPresent(machine, (m, block) -> block == before ? null : block));
    }
    if (lease == null) {
      blockById.remove(id);
    } else {
      blockById.put(id, lease);
      lease.machines().keySet().forEach(machine -> blockOf.put(machine, lease));
    }
  }

  private void putOther(String key, Object value, Revision version)
      throws MalformedMessageException {
    if (key.startsWith(StoreKeys.MEMBERS)) {
      if (value == null) {
        members.values().removeIf(member -> StoreKeys.member(member.member()).equals(key));
      } else {
        ControllerRecord member = member(value, version);
        members.put(member.member(), member);
      }
    } else if (key.equals(StoreKeys.LEADER)) {
      leader = value == null ? null : member(value, version);
    } else if (key.equals(StoreKeys.LEADS)) {
      leads = value == null ? null : member(value, version);
    } else if (key.equals(StoreKeys.LEVEL)) {
      level = value == null ? FeatureLevelRecord.NONE : FeatureLevelRecord.read(value, version);
    } else if (key.startsWith(StoreKeys.TYPES) && value != null) {
      for (MachineType type : CloudCodec.readCatalog(JsonFields.of(value, "a machine type"))) {
        types.put(type.name(), type);
      }
    } else if (key.equals(StoreKeys.OPERATOR_SETTINGS)) {
      operatorSettings = value;
    }
  }

  /** What a member announces; one that announces nothing was built before levels. */
  private static Build build(JsonFields in) throws MalformedMessageException {
    if (!in.has("build")) {
      return Build.BEFORE_LEVELS;
    }
    FeatureLevel least = new FeatureLevel(in.integer("least", 1, FeatureLevel.MOST));
    return new Build(
        in.string("build"),
        least,
        new FeatureLevel(in.integer("most", least.number(), FeatureLevel.MOST)));
  }

  private static ControllerRecord member(Object value, Revision version)
      throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a member");
    return new ControllerRecord(
        new ControllerId(in.string("member")),
        new Incarnation(in.unsigned("life")),
        in.string("zone"),
        build(in),
        terms(in),
        version);
  }

  private static AnnouncedLimits terms(JsonFields in) throws MalformedMessageException {
    if (!in.has("marks")) {
      return AnnouncedLimits.NONE;
    }
    Map<String, String> marks = new TreeMap<>();
    JsonFields marked = in.fields("marks");
    for (String part : marked.fieldNames()) {
      marks.put(part, marked.string(part));
    }
    Map<String, Resources> limits = new TreeMap<>();
    JsonFields limited = in.fields("limits");
    for (String team : limited.fieldNames()) {
      JsonFields limit = limited.fields(team);
      limits.put(
          team,
          new Resources(
              limit.has("cpus") ? limit.nonNegativeNumber("cpus") : Double.POSITIVE_INFINITY,
              limit.has("gpus") ? limit.nonNegativeNumber("gpus") : Double.POSITIVE_INFINITY,
              limit.has("memory_gb")
                  ? limit.nonNegativeNumber("memory_gb")
                  : Double.POSITIVE_INFINITY));
    }
    return new AnnouncedLimits(marks, limits);
  }
}
