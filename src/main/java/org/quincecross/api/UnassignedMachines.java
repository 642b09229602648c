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
 * Machines that report and are in no block. A late copy of the report of one that was returned or
 * taken looks the same as the first report of a new one, and a block that takes it in waits for a
 * machine that is gone. So it is asked itself before it is taken in: an answer to a request that is
 * sent now was made now. That holds for one that shows no token as well: a copy of a gone machine's
 * very first report shows none, and a leader that has just begun knows of no machine that is gone
 * (docs/incidents/a-gone-machines-first-report.md). Only a leader that has led since there was no
 * block knows all that are gone and asks nobody without a token.
 */
final class UnassignedMachines {
  private static final TimeSpan ASK_TIMEOUT = TimeSpan.ofSeconds(1.5);
  private static final TimeSpan ASK_AGAIN = TimeSpan.ofSeconds(1);

  /** So long after its answer a machine counts as there. */
  private static final TimeSpan THERE_FOR = TimeSpan.ofSeconds(4);

  private final Timers timers;
  private final HttpCaller http;
  private final Leader leader;
  private final Map<MachineId, MonotonicTime> askAfter = new HashMap<>();
  private final Map<MachineId, MonotonicTime> there = new HashMap<>();

  UnassignedMachines(Timers timers, HttpCaller http, Leader leader) {
    this.timers = timers;
    this.http = http;
    this.leader = leader;
  }

  /** A machine that is in no block has reported, or a copy of its report came. */
  void reported(Heartbeat heartbeat) {
    Machine machine = heartbeat.machine();
    if (heartbeat.token().equals(FencingToken.NONE) && leader.addNewcomer(machine, false)) {
      return;
    }
    MonotonicTime now = timers.now();
    MonotonicTime answered = there.get(machine.id());
    if (answered != null && !now.since(answered).isLongerThan(THERE_FOR)) {
      leader.addNewcomer(machine, true);
    } else if (!now.isBefore(askAfter.getOrDefault(machine.id(), now))) {
      forgetOld(now);
      askAfter.put(machine.id(), now.plus(ASK_TIMEOUT).plus(ASK_AGAIN));
      http.call(
          machine.address(),
          HttpRequest.get(AgentCodec.STATUS_PATH),
          ASK_TIMEOUT,
          outcome -> answered(machine, outcome));
    }
  }

  private void forgetOld(MonotonicTime now) {
    askAfter.values().removeIf(after -> after.isBefore(now));
    there.values().removeIf(at -> now.since(at).isLongerThan(THERE_FOR));
  }

  private void answered(Machine machine, HttpOutcome outcome) {
    try {
      // Another machine may have the address of one that is gone.
      if (outcome.status() == 200
          && AgentCodec.readHeartbeat(Json.parseFields(outcome.response().body()))
              .machine()
              .equals(machine)) {
        askAfter.remove(machine.id());
        there.put(machine.id(), timers.now());
        if (leader.isLeading()) {
          leader.addNewcomer(machine, true);
        }
      }
    } catch (MalformedMessageException e) {
      // It is asked again when it reports again.
      there.remove(machine.id());
    }
  }
}
