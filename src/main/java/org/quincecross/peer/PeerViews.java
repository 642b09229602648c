package org.quincecross.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.ControllerId;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/** The views of all controllers and their shards, assembled from their reports. */
public final class PeerViews {
  /** A shard as its owner last reported it. */
  public record ShardView(
      ShardId id,
      FencingToken token,
      Revision allocation,
      boolean needsTokenRenewal,
      Set<JobId> declinedJobs,
      List<TaskId> completed,
      List<TaskId> released,
      Map<JobId, Integer> running,
      Map<MachineId, PeerHeartbeat.MachineState> machines) {}

  /** Notified of the shards that a report changes. */
  public interface Listener {
    /** Called with the shards of a controller whose views have changed. */
    void changed(ControllerId member, Collection<ShardId> shards);
  }

  /** The view of one controller. */
  public static final class View {
    private final Incarnation incarnation;
    private final Map<ShardId, ShardView> shards = new LinkedHashMap<>();
    private long number;
    private boolean gap;
    private MonotonicTime at;
    private Revision cacheRevision = Revision.NONE;
    private TimeSpan sinceStoreContact = TimeSpan.ZERO;
    private Set<MachineId> foreignMachines = Set.of();
    private Map<String, byte[]> sections = Map.of();

    private View(Incarnation incarnation, MonotonicTime at) {
      this.incarnation = incarnation;
      this.at = at;
    }

    /** The incarnation of the controller. */
    public Incarnation incarnation() {
      return incarnation;
    }

    /** The last report received without a gap before it. */
    public long number() {
      return number;
    }

    /** When its last report arrived. */
    public MonotonicTime at() {
      return at;
    }

    /** The revision that its cache had applied. */
    public Revision cacheRevision() {
      return cacheRevision;
    }

    /** How long it had no contact with the store. */
    public TimeSpan sinceStoreContact() {
      return sinceStoreContact;
    }

    /** The machines of other controllers' shards that report to it. */
    public Set<MachineId> foreignMachines() {
      return foreignMachines;
    }

    /** The reports of optional features, by name. */
    public Map<String, byte[]> sections() {
      return sections;
    }

    /** The shards that it owns. */
    public Map<ShardId, ShardView> shards() {
      return shards;
    }
  }

  private final Map<ControllerId, View> views = new TreeMap<>();
  private final List<Listener> listeners = new ArrayList<>();

  /** Adds a listener for changed views. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** The views of all controllers. */
  public Collection<View> all() {
    return views.values();
  }

  /** The view of a controller, or null. */
  public View of(ControllerId member) {
    return views.get(member);
  }

  /** Applies a report; false if it builds on one that did not arrive, and so was ignored. */
  public boolean apply(PeerHeartbeat heartbeat, MonotonicTime now) {
    View view = views.get(heartbeat.member());
    if (view == null || !view.incarnation.equals(heartbeat.incarnation())) {
      if (view != null
          && Long.compareUnsigned(heartbeat.incarnation().value(), view.incarnation.value()) < 0) {
        return true; // late, of a former incarnation
      }
      List<ShardId> forgotten = view == null ? List.of() : List.copyOf(view.shards.keySet());
      view = new View(heartbeat.incarnation(), now);
      views.put(heartbeat.member(), view);
      notifyListeners(heartbeat.member(), forgotten);
    }
    if (heartbeat.number() <= view.number) {
      return true; // late or repeated
    }
    if (heartbeat.base() > view.number) {
      view.gap = true;
      return false;
    }
    view.gap = false;
    view.number = heartbeat.number();
    view.at = now;
    view.cacheRevision = heartbeat.cacheRevision();
    view.sinceStoreContact = heartbeat.sinceStoreContact();
    view.foreignMachines = new HashSet<>(heartbeat.foreignMachines());
    view.sections = heartbeat.sections();
    Set<ShardId> changed = new HashSet<>();
    if (heartbeat.base() == 0) {
      changed.addAll(view.shards.keySet());
      view.shards.clear();
    }
    for (PeerHeartbeat.ShardStatus shardStatus : heartbeat.shards()) {
      changed.add(shardStatus.id());
      merge(view, shardStatus);
    }
    notifyListeners(heartbeat.member(), changed);
    return true;
  }

  private static void merge(View view, PeerHeartbeat.ShardStatus shardStatus) {
    ShardView before = view.shards.get(shardStatus.id());
    Map<MachineId, PeerHeartbeat.MachineState> machines = new LinkedHashMap<>();
    if (before != null && !shardStatus.hasAllMachines()) {
      machines = before.machines();
    }
    for (PeerHeartbeat.MachineState machine : shardStatus.machines()) {
      machines.put(machine.id(), machine);
    }
    view.shards.put(
        shardStatus.id(),
        new ShardView(
            shardStatus.id(),
            shardStatus.token(),
            shardStatus.allocation(),
            shardStatus.needsTokenRenewal(),
            shardStatus.declinedJobs(),
            shardStatus.completed(),
            shardStatus.released(),
            shardStatus.running(),
            machines));
  }

  private void notifyListeners(ControllerId member, Collection<ShardId> changed) {
    if (!changed.isEmpty()) {
      listeners.forEach(listener -> listener.changed(member, changed));
    }
  }

  /** Forgets a shard that a controller no longer owns. */
  public void forget(ControllerId member, ShardId shard) {
    View view = views.get(member);
    if (view != null && view.shards.remove(shard) != null) {
      notifyListeners(member, List.of(shard));
    }
  }

  /**
   * Called after a pause of this process. No report could be received during the pause, so the
   * silence of others proves nothing.
   */
  public void excusePause(TimeSpan gap) {
    views.values().forEach(view -> view.at = view.at.plus(gap));
  }

  /** What has been received from each controller, to be sent back to it. */
  public Map<ControllerId, PeerHeartbeat.Receipt> receipts() {
    Map<ControllerId, PeerHeartbeat.Receipt> receipts = new HashMap<>();
    views.forEach(
        (member, view) ->
            receipts.put(
                member, new PeerHeartbeat.Receipt(view.incarnation, view.number, view.gap)));
    return receipts;
  }

  /** The images that a machine of a shard was last reported to have, by any owner. */
  public List<String> imagesOf(ShardId shard, MachineId machine) {
    for (View view : views.values()) {
      ShardView known = view.shards().get(shard);
      PeerHeartbeat.MachineState state = known == null ? null : known.machines().get(machine);
      if (state != null) {
        return state.images();
      }
    }
    return List.of();
  }
}
