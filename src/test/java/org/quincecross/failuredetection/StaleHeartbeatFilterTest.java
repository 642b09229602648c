package org.quincecross.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quincecross.failuredetection.StaleHeartbeatFilter.Classification;
import org.quincecross.failuredetection.StaleHeartbeatFilter.Position;
import org.quincecross.failuredetection.StaleHeartbeatFilter.State;
import org.quincecross.model.FencingToken;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Tests which messages of a machine count as new, with copies of everything it ever sent and with
 * agents that restart.
 */
class StaleHeartbeatFilterTest {
  private static final TimeSpan REPORT = TimeSpan.ofSeconds(2);
  private static final FencingToken FORMER = new FencingToken(5);
  private static final FencingToken PRESENT = new FencingToken(9);

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime((long) (seconds * 1e9));
  }

  /** A message, with the incarnation of the agent that made it and its number there. */
  private record SentMessage(int incarnation, int number, Position shown) {}

  /** Simulates one machine whose messages arrive, get lost, come late and are repeated. */
  private static final class SimulatedMachine {
    private final Random random;
    private final boolean restarts;
    private final StaleHeartbeatFilter filter = new StaleHeartbeatFilter();
    private final List<SentMessage> reports = new ArrayList<>();
    private int incarnation;
    private int number;
    private long session = 1;
    private long order;
    private long token;
    private int acceptedNumber;
    private int acceptedIncarnation;

    SimulatedMachine(long seed, boolean restarts) {
      this.random = new Random(seed);
      this.restarts = restarts;
      session = 1L + random.nextInt(3);
      order = random.nextInt(20);
    }

    SentMessage nextMessage() {
      return new SentMessage(
          incarnation, ++number, new Position(new FencingToken(token), session, ++order));
    }

    private void restart() {
      incarnation++;
      session = 1;
      order = 0;
      token = 0;
    }

    private void heartbeat(SentMessage message, double now) {
      Classification classification = filter.classifyHeartbeat(message.shown(), false, at(now));
      assertNotEquals(Classification.RESTARTED, classification, "counts alone prove nothing");
      if (classification == Classification.NEW) {
        assertTrue(
            message.incarnation() != acceptedIncarnation || message.number() > acceptedNumber,
            message + " after " + acceptedNumber);
        acceptedNumber = message.number();
        acceptedIncarnation = message.incarnation();
      }
    }

    private void requestStatus(double now) {
      filter.statusRequested();
      if (random.nextInt(3) == 0) {
        filter.statusRequestFailed();
        return;
      }
      token = Math.max(token, random.nextInt(4));
      SentMessage message = nextMessage();
      Classification classification = filter.classifyCommandResponse(message.shown(), at(now));
      if (classification == Classification.RESTARTED) {
        assertTrue(incarnation > 0, "restart reported although the agent never restarted");
      }
      assertNotEquals(Classification.LATE, classification);
      acceptedNumber = message.number();
      acceptedIncarnation = message.incarnation();
    }

    void run() {
      for (int step = 0; step < 120; step++) {
        double now = step * 0.5;
        if (restarts && random.nextInt(40) == 0) {
          restart();
        }
        if (random.nextInt(3) > 0) {
          SentMessage message = nextMessage();
          reports.add(message);
          if (random.nextInt(4) > 0) {
            heartbeat(message, now);
          }
        }
        if (!reports.isEmpty() && random.nextInt(2) == 0) {
          heartbeat(reports.get(random.nextInt(reports.size())), now);
        }
        if (filter.needsStatusRequest(REPORT, at(now)) || random.nextInt(8) == 0) {
          requestStatus(now);
        }
        if (filter.state() == State.BEGUN_ANEW) {
          reports.forEach(
              message ->
                  assertEquals(
                      Classification.LATE,
                      filter.classifyHeartbeat(message.shown(), false, at(now))));
        }
      }
    }
  }

  @Property(tries = 400)
  void copiesAreNotNewAndDoNotProveRestart(@ForAll long seed) {
    new SimulatedMachine(seed, false).run();
  }

  /**
   * A copy of a message of the current agent does not count as new after an unnoticed restart
   * either.
   */
  @Property(tries = 400)
  void copiesAreNotNewWhenAgentsRestart(@ForAll long seed) {
    new SimulatedMachine(seed, true).run();
  }

  /**
   * A restarted agent is queried soon after its next heartbeat, whatever was known before, and the
   * response proves the restart.
   */
  @Property(tries = 200)
  void restartedAgentIsDetected(@ForAll long seed) {
    Random random = new Random(seed);
    StaleHeartbeatFilter filter = new StaleHeartbeatFilter();
    filter.classifyHeartbeat(
        new Position(PRESENT, 1 + random.nextInt(3), 40 + random.nextInt(1000)), false, at(0));
    double now = 0;
    for (int order = 1; filter.state() != State.BEGUN_ANEW; order++) {
      now += 0.5 + random.nextDouble() * 2;
      assertTrue(now < 10, "restart not detected in time");
      assertEquals(
          Classification.LATE,
          filter.classifyHeartbeat(new Position(FORMER, 1, order), false, at(now)));
      if (filter.needsStatusRequest(REPORT, at(now))) {
        filter.statusRequested();
        assertEquals(
            Classification.RESTARTED,
            filter.classifyCommandResponse(new Position(FORMER, 1, ++order), at(now)));
      }
    }
  }

  /**
   * Once the machine has shown a new token, nothing sent under an older token counts as new,
   * whatever its counts.
   */
  @Test
  void tokenRanksBeforeCounts() {
    StaleHeartbeatFilter filter = new StaleHeartbeatFilter();
    assertEquals(
        Classification.NEW, filter.classifyHeartbeat(new Position(FORMER, 3, 88), false, at(0)));
    filter.statusRequested();
    assertEquals(
        Classification.NEW, filter.classifyCommandResponse(new Position(PRESENT, 1, 2), at(1)));
    assertEquals(
        Classification.LATE, filter.classifyHeartbeat(new Position(FORMER, 3, 89), false, at(2)));
    assertEquals(
        Classification.NEW, filter.classifyHeartbeat(new Position(PRESENT, 1, 3), false, at(2)));
  }

  /**
   * Once a lease has certainly expired, a heartbeat of the same session is late, however large its
   * number; a response is not.
   */
  @Test
  void sessionDoesNotOutliveItsLease() {
    StaleHeartbeatFilter filter = new StaleHeartbeatFilter();
    filter.classifyHeartbeat(new Position(PRESENT, 2, 10), false, at(0));
    assertEquals(
        Classification.LATE, filter.classifyHeartbeat(new Position(PRESENT, 2, 11), true, at(30)));
    assertTrue(filter.needsStatusRequest(REPORT, at(30)));
    assertEquals(
        Classification.NEW, filter.classifyHeartbeat(new Position(PRESENT, 3, 12), true, at(31)));
  }

  /**
   * A heartbeat that was overtaken by a response is answered while its sender still waits, and only
   * once.
   */
  @Test
  void overtakenHeartbeatIsAnsweredOnce() {
    StaleHeartbeatFilter filter = new StaleHeartbeatFilter();
    filter.classifyHeartbeat(new Position(PRESENT, 1, 10), false, at(0));
    filter.statusRequested();
    filter.classifyCommandResponse(new Position(PRESENT, 1, 13), at(1));
    assertEquals(
        Classification.OVERTAKEN,
        filter.classifyHeartbeat(new Position(PRESENT, 1, 11), false, at(2)));
    assertEquals(
        Classification.LATE, filter.classifyHeartbeat(new Position(PRESENT, 1, 11), false, at(2)));
    assertEquals(
        Classification.LATE, filter.classifyHeartbeat(new Position(PRESENT, 1, 12), false, at(6)));
  }
}
