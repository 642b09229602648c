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

/** What each controller has told of itself and its blocks, put together from its reports. */
public final class PeerViews {
  /** A block as its holder last described it. */
  public record BlockView(
      ShardId id,
      FencingToken token,
      Revision allocation,
      boolean inDoubt,
      Set<JobId> declined,
      List<TaskId> completed,
      List<TaskId> released,
      Map<JobId, Integer> running,
      Map<MachineId, PeerHeartbeat.MachineState> machines) {}

  /** Told which blocks a report says something new of. */
  public interface Listener {
    void changed(ControllerId member, Collection<ShardId> blocks);
  }

  /** What is known of one controller. */
  public static final class View {
    private final Incarnation incarnation;
    private final Map<ShardId, BlockView> blocks = new LinkedHashMap<>();
    private long number;
    private boolean gap;
    private MonotonicTime at;
    private Revision ledger = Revision.NONE;
    private TimeSpan unconfirmed = TimeSpan.ZERO;
    private Set<MachineId> strays = Set.of();
    private Map<String, byte[]> sections = Map.of();

    private View(Incarnation incarnation, MonotonicTime at) {
      this.incarnation = incarnation;
      this.at = at;
    }

    public Incarnation life() {
      return incarnation;
    }

    /** The last report that all before it have come of. */
    public long number() {
      return number;
    }

    /** When its last report came. */
    public MonotonicTime at() {
      return at;
    }

    /** The revision that it had taken note of. */
    public Revision ledger() {
      return ledger;
    }

    /** How long it had not heard from the state service. */
    public TimeSpan unconfirmed() {
      return unconfirmed;
    }

    public Set<MachineId> strays() {
      return strays;
    }

    /** What parts of it tell theirs here, by name. */
    public Map<String, byte[]> sections() {
      return sections;
    }

    public Map<ShardId, BlockView> blocks() {
      return blocks;
    }
  }

  private final Map<ControllerId, View> views = new TreeMap<>();
  private final List<Listener> listeners = new ArrayList<>();

  public void listen(Listener listener) {
    listeners.add(listener);
  }

  public Collection<View> all() {
    return views.values();
  }

  /** What is known of a controller, or null. */
  public View of(ControllerId member) {
    return views.get(member);
  }

  /** Takes a report; false if it builds on one that did not come, and so says nothing. */
  public boolean take(PeerHeartbeat heartbeat, MonotonicTime now) {
    View view = views.get(heartbeat.member());
    if (view == null || !view.incarnation.equals(heartbeat.incarnation())) {
      if (view != null
          && Long.compareUnsigned(heartbeat.incarnation().value(), view.incarnation.value()) < 0) {
        return true; // a late one of a former life
      }
      List<ShardId> forgotten = view == null ? List.of() : List.copyOf(view.blocks.keySet());
      view = new View(heartbeat.incarnation(), now);
      views.put(heartbeat.member(), view);
      tell(heartbeat.member(), forgotten);
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
    view.ledger = heartbeat.ledger();
    view.unconfirmed = heartbeat.unconfirmed();
    view.strays = new HashSet<>(heartbeat.strays());
    view.sections = heartbeat.sections();
    Set<ShardId> changed = new HashSet<>();
    if (heartbeat.base() == 0) {
      changed.addAll(view.blocks.keySet());
      view.blocks.clear();
    }
    for (PeerHeartbeat.Block block : heartbeat.blocks()) {
      changed.add(block.id());
      merge(view, block);
    }
    tell(heartbeat.member(), changed);
    return true;
  }

  private static void merge(View view, PeerHeartbeat.Block block) {
    BlockView before = view.blocks.get(block.id());
    Map<MachineId, PeerHeartbeat.MachineState> machines = new LinkedHashMap<>();
    if (before != null && !block.whole()) {
      machines = before.machines();
    }
    for (PeerHeartbeat.MachineState machine : block.machines()) {
      machines.put(machine.id(), machine);
    }
    view.blocks.put(
        block.id(),
        new BlockView(
            block.id(),
            block.token(),
            block.allocation(),
            block.inDoubt(),
            block.declined(),
            block.completed(),
            block.released(),
            block.running(),
            machines));
  }

  private void tell(ControllerId member, Collection<ShardId> changed) {
    if (!changed.isEmpty()) {
      listeners.forEach(listener -> listener.changed(member, changed));
    }
  }

  /** Forgets a block that a controller does not hold any more. */
  public void forget(ControllerId member, ShardId shard) {
    View view = views.get(member);
    if (view != null && view.blocks.remove(shard) != null) {
      tell(member, List.of(shard));
    }
  }

  /** For so long nobody was listened to here: that nothing came is no sign of who did not speak. */
  public void excuse(TimeSpan gap) {
    views.values().forEach(view -> view.at = view.at.plus(gap));
  }

  /** What has been received of each controller, for it to know. */
  public Map<ControllerId, PeerHeartbeat.Receipt> receipts() {
    Map<ControllerId, PeerHeartbeat.Receipt> receipts = new HashMap<>();
    views.forEach(
        (member, view) ->
            receipts.put(
                member, new PeerHeartbeat.Receipt(view.incarnation, view.number, view.gap)));
    return receipts;
  }
}
