package org.quincecross.shard;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Endpoint;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat;

class AgentSessionTest {
  private static final FencingToken FORMER = new FencingToken(5);
  private static final FencingToken PRESENT = new FencingToken(9);
  private static final TimeSpan LEASE = TimeSpan.ofSeconds(12);

  private final Machine machine =
      new Machine(new MachineId("m-1"), new Endpoint("10.0.0.9", 9000), "box", "a", false);
  private final AgentSession session =
      new AgentSession(machine, new Resources(8, 0, 32), 10, at(0), at(0));

  private static MonotonicTime at(double seconds) {
    return MonotonicTime.ZERO.plus(TimeSpan.ofSeconds(seconds));
  }

  /** Accepts a heartbeat and records a response, which the machine does not receive. */
  private void heartbeatWithLostResponse(long number, long order, double atS) {
    Heartbeat heartbeat = new Heartbeat(machine, number, order, FORMER, null, List.of());
    if (session.lastHeartbeat() != null) {
      session.provesNoneTaken(heartbeat, PRESENT);
    }
    session.accept(heartbeat, true, at(atS));
    session.responseSent(heartbeat, at(atS));
  }

  /**
   * The lease of a machine that receives nothing expires, and its next session, which began after
   * everything that bounds the lease of the former one, shows that no response was accepted. That
   * does not prove that the new session's lease has expired
   * (docs/incidents/lease-of-a-new-session.md).
   */
  @Test
  void unacceptedResponseDoesNotEndLeaseOfNewSession() {
    heartbeatWithLostResponse(1, 1, 1);
    heartbeatWithLostResponse(1, 2, 5);
    assertFalse(session.isLeaseExpired(LEASE, at(12.5)));
    heartbeatWithLostResponse(2, 3, 13.5);
    heartbeatWithLostResponse(2, 4, 18);
    session.provesNoneTaken(new Heartbeat(machine, 2, 5, FORMER, null, List.of()), PRESENT);
    assertFalse(session.isLeaseExpired(LEASE, at(25)));
    assertTrue(session.isLeaseExpired(LEASE, at(25.6)));
  }
}
