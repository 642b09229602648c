package org.quincecross.api;

import java.util.HashMap;
import java.util.Map;
import org.quincecross.http.HttpRequest;
import org.quincecross.leader.Leader;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.Timers;
import org.quincecross.protocol.AgentCodec;
import org.quincecross.protocol.Heartbeat;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Machines that send heartbeats and are in no shard. A late copy of a heartbeat of a terminated
 * machine looks the same as the first heartbeat of a new one, and a shard that includes it would
 * wait for a machine that is gone. So the machine itself is queried before it is added: a response
 * to a request sent now was made now. That applies even without a token: a copy of a terminated
 * machine's very first heartbeat shows none, and a new leader knows of no terminated machines
 * (docs/incidents/a-gone-machines-first-report.md). Only a leader that has led since there were no
 * shards knows all of them, and does not query a machine without a token.
 */
final class UnassignedMachines {
  private static final TimeSpan QUERY_TIMEOUT = TimeSpan.ofSeconds(1.5);
  private static final TimeSpan QUERY_INTERVAL = TimeSpan.ofSeconds(1);

  /** How long after its response a machine counts as existing. */
  private static final TimeSpan CONFIRMED_FOR = TimeSpan.ofSeconds(4);

  private final Timers timers;
  private final HttpCaller http;
  private final Leader leader;
  private final Map<MachineId, MonotonicTime> queryAfter = new HashMap<>();
  private final Map<MachineId, MonotonicTime> confirmedAt = new HashMap<>();

  UnassignedMachines(Timers timers, HttpCaller http, Leader leader) {
    this.timers = timers;
    this.http = http;
    this.leader = leader;
  }

  /** Called when a machine that is in no shard has reported, or a copy of its heartbeat arrived. */
  void reported(Heartbeat heartbeat) {
    Machine machine = heartbeat.machine();
    if (heartbeat.token().equals(FencingToken.NONE) && leader.addNewcomer(machine, false)) {
      return;
    }
    MonotonicTime now = timers.now();
    MonotonicTime answered = confirmedAt.get(machine.id());
    if (answered != null && !now.since(answered).isLongerThan(CONFIRMED_FOR)) {
      leader.addNewcomer(machine, true);
    } else if (!now.isBefore(queryAfter.getOrDefault(machine.id(), now))) {
      forgetOld(now);
      queryAfter.put(machine.id(), now.plus(QUERY_TIMEOUT).plus(QUERY_INTERVAL));
      http.call(
          machine.address(),
          HttpRequest.get(AgentCodec.STATUS_PATH),
          QUERY_TIMEOUT,
          outcome -> queryAnswered(machine, outcome));
    }
  }

  private void forgetOld(MonotonicTime now) {
    queryAfter.values().removeIf(after -> after.isBefore(now));
    confirmedAt.values().removeIf(at -> now.since(at).isLongerThan(CONFIRMED_FOR));
  }

  private void queryAnswered(Machine machine, HttpOutcome outcome) {
    try {
      // Another machine may have the address of a terminated one.
      if (outcome.status() == 200
          && AgentCodec.readHeartbeat(Json.parseFields(outcome.response().body()))
              .machine()
              .equals(machine)) {
        queryAfter.remove(machine.id());
        confirmedAt.put(machine.id(), timers.now());
        if (leader.isLeading()) {
          leader.addNewcomer(machine, true);
        }
      }
    } catch (MalformedMessageException e) {
      // It is queried again at its next heartbeat.
      confirmedAt.remove(machine.id());
    }
  }
}
