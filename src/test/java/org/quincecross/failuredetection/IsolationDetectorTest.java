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
  private static final class ThreeControllers {
    private final List<IsolationDetector> nodes = new ArrayList<>();
    private final double[] lastContact = new double[NODES];
    private final IsolationDetector.PeerContact[][] reports =
        new IsolationDetector.PeerContact[NODES][NODES];
    private double now;

    ThreeControllers() {
      for (int i = 0; i < NODES; i++) {
        nodes.add(new IsolationDetector(i == 0, at(0)));
        for (int j = 0; j < NODES; j++) {
          reports[i][j] = new IsolationDetector.PeerContact(null, TimeSpan.ZERO);
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
        lastContact[i] = (served >> i & 1) == 1 ? now : lastContact[i];
      }
      for (int i = 0; i < NODES; i++) {
        for (int j = 0; j < NODES; j++) {
          if (i != j && (linked >> i & linked >> j & 1) == 1) {
            reports[i][j] =
                new IsolationDetector.PeerContact(at(now), at(now).since(at(lastContact[j])));
          }
        }
      }
      for (int i = 0; i < NODES; i++) {
        List<IsolationDetector.PeerContact> others = new ArrayList<>(List.of(reports[i]));
        others.remove(i);
        nodes.get(i).evaluate(at(lastContact[i]), others, at(now));
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
  void someControllerTakesUsersInStoreOutage(
      @ForAll long seed, @ForAll @IntRange(min = 0, max = 7) int machines) {
    Random random = new Random(seed);
    ThreeControllers controllers = new ThreeControllers();
    int links = 7;
    for (int i = 0; i < 20; i++) {
      controllers.step(7, 7);
    }
    for (int i = 0; i < 200; i++) {
      links = random.nextInt(8) == 0 ? random.nextInt(8) : links;
      for (int node = 0; node < NODES; node++) {
        if ((machines >> node & 1) == 1) {
          // Token 50 was written at the moment of the loss; only its writer knows of it.
          controllers
              .nodes
              .get(node)
              .machineReported(
                  new FencingToken(random.nextInt(3) == 0 || (i > 0 && i < 3) ? 50 : 20),
                  new FencingToken(40),
                  true,
                  at(controllers.now));
        }
      }
      controllers.step(0, links);
      int taking = 0;
      for (int node = 0; node < NODES; node++) {
        taking += controllers.takesUsers(node) ? 1 : 0;
        assertTrue(
            (machines >> node & 1) == 0 || controllers.takesUsers(node),
            node + " at " + controllers.now);
      }
      assertTrue(taking > 0, "no controller takes users at " + controllers.now);
    }
    for (int i = 0; i < 3; i++) {
      controllers.step(7, 7);
    }
    assertEquals(IsolationDetector.State.CONNECTED, controllers.nodes.get(0).state());
  }

  /**
   * An isolated controller hears only a machine that another controller owns now: it stops taking
   * users from then on, and takes them again some time after its return.
   */
  @Property(tries = 200)
  void isolatedControllerStopsTakingUsersOnProof(
      @ForAll @IntRange(min = 0, max = 2) int isolated,
      @ForAll @IntRange(min = 6, max = 30) int shownAt,
      @ForAll @IntRange(min = 40, max = 300) int length) {
    ThreeControllers controllers = new ThreeControllers();
    int others = 7 & ~(1 << isolated);
    controllers.step(7, 7);
    for (int i = 1; i < length; i++) {
      if (i >= shownAt) {
        controllers
            .nodes
            .get(isolated)
            .machineReported(new FencingToken(90), new FencingToken(40), true, at(controllers.now));
      }
      controllers.step(others, others);
      for (int node = 0; node < NODES; node++) {
        boolean takesUsers = controllers.takesUsers(node);
        assertTrue(node == isolated || takesUsers, "other controllers take users");
        assertFalse(
            node == isolated && i > Math.max(shownAt, 7) && takesUsers,
            "the isolated controller takes users at " + controllers.now);
      }
    }
    for (int i = 0; i < 4; i++) {
      controllers.step(7, 7);
      assertFalse(controllers.takesUsers(isolated), "takes users again at once");
    }
    controllers.step(7, 7);
    controllers.step(7, 7);
    assertTrue(controllers.takesUsers(isolated));
  }
}
