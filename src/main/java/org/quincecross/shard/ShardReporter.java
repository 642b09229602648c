package org.quincecross.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.MachineId;
import org.quincecross.peer.PeerHeartbeat;

/**
 * What the other controllers should know of a block, and in which report each part of it last
 * changed: what a receiver has already is not told again, so a report costs what has changed.
 */
public final class ShardReporter {
  private record Part<T>(T content, long changedIn) {}

  private final ShardOwner owner;
  private final Map<MachineId, Part<PeerHeartbeat.MachineState>> machines = new LinkedHashMap<>();
  private final Set<MachineId> dirty = new LinkedHashSet<>();
  private Part<PeerHeartbeat.Block> header;
  private boolean inDoubt;
  private boolean dirtyHeader = true;
  private boolean beginning = true;
  private long begunIn;

  ShardReporter(ShardOwner owner) {
    this.owner = owner;
  }

  /** The machines of the block may have changed: all of it is told anew. */
  void begin() {
    beginning = true;
    dirtyHeader = true;
  }

  void headerChanged() {
    dirtyHeader = true;
  }

  void machinesChanged(Collection<MachineId> changed) {
    if (!changed.isEmpty()) {
      dirty.addAll(changed);
      dirtyHeader = true;
    }
  }

  /**
   * Brings the parts up to date for report {@code number}; {@code all}: also those that change with
   * time alone.
   */
  void refresh(long number, boolean all) {
    if (beginning) {
      beginning = false;
      begunIn = number;
      machines.clear();
      header = null;
      all = true;
    }
    if (all) {
      inDoubt = owner.isInDoubt();
    }
    if (dirtyHeader || all) {
      dirtyHeader = false;
      PeerHeartbeat.Block next =
          new PeerHeartbeat.Block(
              owner.id(),
              owner.lease().token(),
              owner.allocated(),
              inDoubt,
              owner.declined(),
              true,
              owner.completed(),
              owner.released(),
              owner.running(),
              List.of());
      if (header == null || !header.content().equals(next)) {
        header = new Part<>(next.keeping(Map.copyOf(next.running())), number);
      }
    }
    if (all) {
      for (MachineId machine : owner.lease().machines().keySet()) {
        Part<PeerHeartbeat.MachineState> told = machines.get(machine);
        if (told == null || owner.hasAged(told.content())) {
          dirty.add(machine);
        }
      }
    }
    for (MachineId machine : dirty) {
      PeerHeartbeat.MachineState next = owner.machine(machine);
      Part<PeerHeartbeat.MachineState> before = machines.get(machine);
      if (next != null && (before == null || !before.content().equals(next))) {
        machines.put(machine, new Part<>(next, number));
      }
    }
    dirty.clear();
  }

  /** What has changed after report {@code base}, or null if nothing has. */
  PeerHeartbeat.Block since(long base) {
    List<PeerHeartbeat.MachineState> changed = new ArrayList<>();
    for (Part<PeerHeartbeat.MachineState> part : machines.values()) {
      if (part.changedIn() > base) {
        changed.add(part.content());
      }
    }
    return header.changedIn() > base || !changed.isEmpty()
        ? header.content().with(begunIn > base, changed)
        : null;
  }
}
