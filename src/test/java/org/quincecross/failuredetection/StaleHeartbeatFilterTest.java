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
  private record Made(int life, int number, Position shown) {}

  /** Simulates one machine whose messages arrive, get lost, come late and are repeated. */
  private static final class Machine {
    private final Random random;
    private final boolean restarts;
    private final StaleHeartbeatFilter freshness = new StaleHeartbeatFilter();
    private final List<Made> reports = new ArrayList<>();
    private int life;
    private int number;
    private long session = 1;
    private long order;
    private long shows;
    private int taken;
    private int takenLife;

    Machine(long seed, boolean restarts) {
      this.random = new Random(seed);
      this.restarts = restarts;
      session = 1L + random.nextInt(3);
      order = random.nextInt(20);
    }

    Made says() {
      return new Made(life, ++number, new Position(new FencingToken(shows), session, ++order));
    }

    private void begins() {
      life++;
      session = 1;
      order = 0;
      shows = 0;
    }

    private void report(Made made, double now) {
      Classification verdict = freshness.classifyHeartbeat(made.shown(), false, at(now));
      assertNotEquals(Classification.RESTARTED, verdict, "counts alone prove nothing");
      if (verdict == Classification.NEW) {
        assertTrue(made.life() != takenLife || made.number() > taken, made + " after " + taken);
        taken = made.number();
        takenLife = made.life();
      }
    }

    private void ask(double now) {
      freshness.statusRequested();
      if (random.nextInt(3) == 0) {
        freshness.statusRequestFailed();
        return;
      }
      shows = Math.max(shows, random.nextInt(4));
      Made made = says();
      Classification verdict = freshness.classifyCommandResponse(made.shown(), at(now));
      if (verdict == Classification.RESTARTED) {
        assertTrue(life > 0, "restart reported although the agent never restarted");
      }
      assertNotEquals(Classification.LATE, verdict);
      taken = made.number();
      takenLife = made.life();
    }

    void play() {
      for (int step = 0; step < 120; step++) {
        double now = step * 0.5;
        if (restarts && random.nextInt(40) == 0) {
          begins();
        }
        if (random.nextInt(3) > 0) {
          Made made = says();
          reports.add(made);
          if (random.nextInt(4) > 0) {
            report(made, now);
          }
        }
        if (!reports.isEmpty() && random.nextInt(2) == 0) {
          report(reports.get(random.nextInt(reports.size())), now);
        }
        if (freshness.needsStatusRequest(REPORT, at(now)) || random.nextInt(8) == 0) {
          ask(now);
        }
        if (freshness.state() == State.BEGUN_ANEW) {
          reports.forEach(
              made ->
                  assertEquals(
                      Classification.LATE,
                      freshness.classifyHeartbeat(made.shown(), false, at(now))));
        }
      }
    }
  }

  @Property(tries = 400)
  void noCopyIsNewsAndAMachineThatGoesOnHasNotBegunAnew(@ForAll long seed) {
    new Machine(seed, false).play();
  }

  /**
   * A copy of a message of the current agent does not count as new after an unnoticed restart
   * either.
   */
  @Property(tries = 400)
  void noCopyIsNewsWhereWorkersBeginAnew(@ForAll long seed) {
    new Machine(seed, true).play();
  }

  /**
   * A restarted agent is queried soon after its next heartbeat, whatever was known before, and the
   * response proves the restart.
   */
  @Property(tries = 200)
  void aMachineThatHasBegunAnewIsFoundOut(@ForAll long seed) {
    Random random = new Random(seed);
    StaleHeartbeatFilter freshness = new StaleHeartbeatFilter();
    freshness.classifyHeartbeat(
        new Position(PRESENT, 1 + random.nextInt(3), 40 + random.nextInt(1000)), false, at(0));
    double now = 0;
    for (int order = 1; freshness.state() != State.BEGUN_ANEW; order++) {
      now += 0.5 + random.nextDouble() * 2;
      assertTrue(now < 10, "restart not detected in time");
      assertEquals(
          Classification.LATE,
          freshness.classifyHeartbeat(new Position(FORMER, 1, order), false, at(now)));
      if (freshness.needsStatusRequest(REPORT, at(now))) {
        freshness.statusRequested();
        assertEquals(
            Classification.RESTARTED,
            freshness.classifyCommandResponse(new Position(FORMER, 1, ++order), at(now)));
      }
    }
  }

  /**
   * Once the machine has shown a new token, nothing sent under an older token counts as new,
   * whatever its counts.
   */
  @Test
  void theTokenRanksBeforeTheCounts() {
    StaleHeartbeatFilter freshness = new StaleHeartbeatFilter();
    assertEquals(
        Classification.NEW, freshness.classifyHeartbeat(new Position(FORMER, 3, 88), false, at(0)));
    freshness.statusRequested();
    assertEquals(
        Classification.NEW, freshness.classifyCommandResponse(new Position(PRESENT, 1, 2), at(1)));
    assertEquals(
        Classification.LATE,
        freshness.classifyHeartbeat(new Position(FORMER, 3, 89), false, at(2)));
    assertEquals(
        Classification.NEW, freshness.classifyHeartbeat(new Position(PRESENT, 1, 3), false, at(2)));
  }

  /**
   * Once a lease has certainly expired, a heartbeat of the same session is late, however large its
   * number; a response is not.
   */
  @Test
  void aSessionDoesNotOutliveItsLease() {
    StaleHeartbeatFilter freshness = new StaleHeartbeatFilter();
    freshness.classifyHeartbeat(new Position(PRESENT, 2, 10), false, at(0));
    assertEquals(
        Classification.LATE,
        freshness.classifyHeartbeat(new Position(PRESENT, 2, 11), true, at(30)));
    assertTrue(freshness.needsStatusRequest(REPORT, at(30)));
    assertEquals(
        Classification.NEW,
        freshness.classifyHeartbeat(new Position(PRESENT, 3, 12), true, at(31)));
  }

  /**
   * A heartbeat that was overtaken by a response is answered while its sender still waits, and only
   * once.
   */
  @Test
  void whatIsOvertakenIsAnsweredOnce() {
    StaleHeartbeatFilter freshness = new StaleHeartbeatFilter();
    freshness.classifyHeartbeat(new Position(PRESENT, 1, 10), false, at(0));
    freshness.statusRequested();
    freshness.classifyCommandResponse(new Position(PRESENT, 1, 13), at(1));
    assertEquals(
        Classification.OVERTAKEN,
        freshness.classifyHeartbeat(new Position(PRESENT, 1, 11), false, at(2)));
    assertEquals(
        Classification.LATE,
        freshness.classifyHeartbeat(new Position(PRESENT, 1, 11), false, at(2)));
    assertEquals(
        Classification.LATE,
        freshness.classifyHeartbeat(new Position(PRESENT, 1, 12), false, at(6)));
  }
}
