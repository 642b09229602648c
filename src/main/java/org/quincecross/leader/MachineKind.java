package org.quincecross.leader;

import org.quincecross.model.Machine;
import org.quincecross.state.ShardLease;

/** A machine type in a zone, on demand or spot. */
record MachineKind(String type, String zone, boolean spot) {
  static MachineKind of(Machine machine) {
    return new MachineKind(machine.type(), machine.zone(), machine.spot());
  }

  static MachineKind of(ShardLease shard) {
    return new MachineKind(shard.type(), shard.zone(), shard.spot());
  }
}
