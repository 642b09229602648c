package org.quincecross.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.quincecross.model.FencingToken;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Three controllers with random evidence: contact to the store, reports of the others, and tokens
 * of their machines.
 */
class IsolationDetectorTest {
  private static final int NODES = 3;
  private static final double STEP_S = 0.5;

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime(TimeSpan.ofSeconds(seconds).nanos());
  }

  /**
   * Three controllers, with the last store contact of each, the last report of each to each other,
   * and the machines' tokens.
   */
  private static final class Trio {
    private final List<IsolationDetector> nodes = new ArrayList<>();
    private final double[] heard = new double[NODES];
    private final IsolationDetector.PeerContact[][] words =
        new IsolationDetector.PeerContact[NODES][NODES];
    private double now;

    Trio() {
      for (int i = 0; i < NODES; i++) {
        nodes.add(new IsolationDetector(i == 0, at(0)));
        for (int j = 0; j < NODES; j++) {
          words[i][j] = new IsolationDetector.PeerContact(null, TimeSpan.ZERO);
        }
      }
    }

    /**
     * Simulates half a second; {@code served}: bits of the controllers with contact to the store,
     * {@code linked}: bits of the controllers that receive each other's reports.
     */
    void step(int served, int linked) {
      now += STEP_S;
      for (int i = 0; i < NODES; i++) {
        heard[i] = (served >> i & 1) == 1 ? now : heard[i];
      }
      for (int i = 0; i < NODES; i++) {
        for (int j = 0; j < NODES; j++) {
          if (i != j && (linked >> i & linked >> j & 1) == 1) {
            words[i][j] = new IsolationDetector.PeerContact(at(now), at(now).since(at(heard[j])));
          }
        }
      }
      for (int i = 0; i < NODES; i++) {
        List<IsolationDetector.PeerContact> others = new ArrayList<>(List.of(words[i]));
        others.remove(i);
        nodes.get(i).evaluate(at(heard[i]), others, at(now));
      }
    }

    boolean takesUsers(int node) {
      return nodes.get(node).state().takesUsers();
    }
  }

  /**
   * During a store outage for all, whatever happens to links, late writes and machines: at least
   * one controller takes users at any time, and so do all whose machines report.
   */
  @Property(tries = 400)
  void inAnOutageOfAllSomebodyIsAlwaysIn(
      @ForAll long seed, @ForAll @IntRange(min = 0, max = 7) int machines) {
    Random random = new Random(seed);
    Trio trio = new Trio();
    int links = 7;
    for (int i = 0; i < 20; i++) {
      trio.step(7, 7);
    }
    for (int i = 0; i < 200; i++) {
      links = random.nextInt(8) == 0 ? random.nextInt(8) : links;
      for (int node = 0; node < NODES; node++) {
        if ((machines >> node & 1) == 1) {
          // Token 50 was written at the moment of the loss; only its writer knows of it.
          trio.nodes
              .get(node)
              .machineReported(
                  new FencingToken(random.nextInt(3) == 0 || (i > 0 && i < 3) ? 50 : 20),
                  new FencingToken(40),
                  true,
                  at(trio.now));
        }
      }
      trio.step(0, links);
      int in = 0;
      for (int node = 0; node < NODES; node++) {
        in += trio.takesUsers(node) ? 1 : 0;
        assertTrue((machines >> node & 1) == 0 || trio.takesUsers(node), node + " at " + trio.now);
      }
      assertTrue(in > 0, "no controller takes users at " + trio.now);
    }
    for (int i = 0; i < 3; i++) {
      trio.step(7, 7);
    }
    assertEquals(IsolationDetector.State.CONNECTED, trio.nodes.get(0).state());
  }

  /**
   * An isolated controller hears only a machine that another controller owns now: it stops taking
   * users from then on, and takes them again some time after its return.
   */
  @Property(tries = 200)
  void whoeverIsAloneIsOutOnceAMachineShowsIt(
      @ForAll @IntRange(min = 0, max = 2) int lone,
      @ForAll @IntRange(min = 6, max = 30) int shownAt,
      @ForAll @IntRange(min = 40, max = 300) int length) {
    Trio trio = new Trio();
    int others = 7 & ~(1 << lone);
    trio.step(7, 7);
    for (int i = 1; i < length; i++) {
      if (i >= shownAt) {
        trio.nodes
            .get(lone)
            .machineReported(new FencingToken(90), new FencingToken(40), true, at(trio.now));
      }
      trio.step(others, others);
      for (int node = 0; node < NODES; node++) {
        boolean in = trio.takesUsers(node);
        assertTrue(node == lone || in, "other controllers take users");
        assertFalse(
            node == lone && i > Math.max(shownAt, 7) && in,
            "the isolated controller takes users at " + trio.now);
      }
    }
    for (int i = 0; i < 4; i++) {
      trio.step(7, 7);
      assertFalse(trio.takesUsers(lone), "takes users again at once");
    }
    trio.step(7, 7);
    trio.step(7, 7);
    assertTrue(trio.takesUsers(lone));
  }
}
