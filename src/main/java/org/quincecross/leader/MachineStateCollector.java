package org.quincecross.leader;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.MachineId;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.state.ShardLease;

/** Collects the recently reported states of all machines for the {@link Autoscaler}. */
final class MachineStateCollector {
  private final LeaderContext context;
  private final AdmissionExtensions extensions;

  MachineStateCollector(LeaderContext context, AdmissionExtensions extensions) {
    this.context = context;
    this.extensions = extensions;
  }

  Autoscaler.View collect() {
    Map<MachineId, PeerHeartbeat.MachineState> states = new HashMap<>();
    for (ShardLease shard : context.cache().shards().values()) {
      PeerViews.ShardView view = context.currentViews().of(shard);
      if (view != null) {
        addStates(shard, view, states);
      }
    }
    return new Autoscaler.View(states, machinesReportingElsewhere());
  }

  private void addStates(
      ShardLease shard,
      PeerViews.ShardView view,
      Map<MachineId, PeerHeartbeat.MachineState> states) {
    for (MachineId machine : shard.machines().keySet()) {
      PeerHeartbeat.MachineState state = view.machines().get(machine);
      if (state != null) {
        states.put(machine, extensions.autoscalerView(state));
      }
    }
  }

  /** The machines that report to a controller other than the owner of their shard. */
  private Set<MachineId> machinesReportingElsewhere() {
    Set<MachineId> machines = new HashSet<>();
    for (ControllerId member : context.cache().members().keySet()) {
      PeerViews.View view = context.currentViews().of(member);
      if (view != null) {
        machines.addAll(view.foreignMachines());
      }
    }
    return machines;
  }
}
