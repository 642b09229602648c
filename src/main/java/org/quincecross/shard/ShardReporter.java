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
 * The shard's part of reports to other controllers. Tracks in which report each part last changed,
 * so that a report contains only what the receiver does not have.
 */
public final class ShardReporter {
  private record Part<T>(T content, long changedIn) {}

  private final ShardState state;
  private final MachineSnapshots snapshots;
  private final Map<MachineId, Part<PeerHeartbeat.MachineState>> machines = new LinkedHashMap<>();
  private final Set<MachineId> dirty = new LinkedHashSet<>();
  private Part<PeerHeartbeat.ShardStatus> header;
  private boolean needsTokenRenewal;
  private boolean dirtyHeader = true;
  private boolean beginning = true;
  private long reportedAllIn;

  ShardReporter(ShardState state, MachineSnapshots snapshots) {
    this.state = state;
    this.snapshots = snapshots;
  }

  /** Reports everything anew, because the shard's machines may have changed. */
  void reportAll() {
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
   * Updates the parts for report {@code number}; {@code all}: including those that change with time
   * alone.
   */
  void refresh(long number, boolean all) {
    boolean refreshAll = all || beginning;
    if (beginning) {
      beginning = false;
      reportedAllIn = number;
      machines.clear();
      header = null;
    }
    if (refreshAll) {
      needsTokenRenewal = state.needsTokenRenewal();
      markOutdatedMachines();
    }
    if (dirtyHeader || refreshAll) {
      dirtyHeader = false;
      refreshHeader(number);
    }
    for (MachineId machine : dirty) {
      PeerHeartbeat.MachineState next = snapshots.snapshot(machine);
      Part<PeerHeartbeat.MachineState> before = machines.get(machine);
      if (next != null && (before == null || !before.content().equals(next))) {
        machines.put(machine, new Part<>(next, number));
      }
    }
    dirty.clear();
  }

  private void refreshHeader(long number) {
    PeerHeartbeat.ShardStatus next =
        new PeerHeartbeat.ShardStatus(
            state.id(),
            state.lease().token(),
            state.syncedAllocation(),
            needsTokenRenewal,
            state.declinedJobs(),
            true,
            state.tasksIn(Placement.State.COMPLETED),
            state.tasksIn(Placement.State.RELEASED),
            state.placements().running(),
            List.of());
    if (header == null || !header.content().equals(next)) {
      header = new Part<>(next.withRunning(Map.copyOf(next.running())), number);
    }
  }

  private void markOutdatedMachines() {
    for (MachineId machine : state.lease().machines().keySet()) {
      Part<PeerHeartbeat.MachineState> reported = machines.get(machine);
      if (reported == null || snapshots.isOutdated(reported.content())) {
        dirty.add(machine);
      }
    }
  }

  /** The changes after report {@code base}, or null if there are none. */
  PeerHeartbeat.ShardStatus since(long base) {
    List<PeerHeartbeat.MachineState> changed = new ArrayList<>();
    for (Part<PeerHeartbeat.MachineState> part : machines.values()) {
      if (part.changedIn() > base) {
        changed.add(part.content());
      }
    }
    return header.changedIn() > base || !changed.isEmpty()
        ? header.content().with(reportedAllIn > base, changed)
        : null;
  }
}
