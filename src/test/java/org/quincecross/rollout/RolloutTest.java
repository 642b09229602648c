package org.quincecross.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;

class RolloutTest {
  private static final Set<ControllerId> ALL =
      Set.of(new ControllerId("a"), new ControllerId("b"), new ControllerId("c"));
  private static final FeatureLevel ANY = new FeatureLevel(FeatureLevel.MAX_NUMBER);

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime((long) (seconds * 1e9));
  }

  private static Map<ControllerId, Rollout.LiveController> all(int most, long life) {
    Map<ControllerId, Rollout.LiveController> alive = new HashMap<>();
    ALL.forEach(
        member ->
            alive.put(
                member,
                new Rollout.LiveController(Build.present("b", most), new Incarnation(life))));
    return alive;
  }

  private static Rollout.Site site(int level, Map<ControllerId, Rollout.LiveController> alive) {
    return new Rollout.Site(new FeatureLevel(level), ALL, alive, ANY, 0, 0);
  }

  /** Passes through all states of a rollout, and back. */
  @Example
  void passesThroughTheStatesOfARollout() {
    Rollout rollout = new Rollout();
    assertEquals(Rollout.State.SETTLED, rollout.evaluate(site(1, all(1, 1)), at(0)).state());
    Map<ControllerId, Rollout.LiveController> two = all(2, 2);
    two.put(
        new ControllerId("c"), new Rollout.LiveController(Build.BEFORE_LEVELS, new Incarnation(1)));
    Rollout.Decision waiting = rollout.evaluate(site(1, two), at(1));
    assertEquals(Rollout.State.WAITING, waiting.state());
    assertTrue(
        waiting.reason().contains("c, whose build (before levels) ends at level 1"),
        waiting.reason());
    assertEquals(Rollout.State.STEADYING, rollout.evaluate(site(1, all(2, 2)), at(2)).state());
    assertEquals(Rollout.State.STEADYING, rollout.evaluate(site(1, all(2, 2)), at(11.9)).state());
    Rollout.Decision ready = rollout.evaluate(site(1, all(2, 2)), at(12.1));
    assertEquals(new FeatureLevel(2), ready.to());
    assertEquals(
        Rollout.State.MIGRATING,
        rollout
            .evaluate(new Rollout.Site(new FeatureLevel(1), ALL, all(2, 2), ANY, 3, 0), at(13))
            .state());
    assertEquals(
        Rollout.State.HELD,
        rollout
            .evaluate(
                new Rollout.Site(new FeatureLevel(1), ALL, all(2, 2), FeatureLevel.FIRST, 0, 0),
                at(13))
            .state());
    assertEquals(
        Rollout.State.LOWERING,
        rollout
            .evaluate(
                new Rollout.Site(new FeatureLevel(2), ALL, all(2, 2), FeatureLevel.FIRST, 0, 4),
                at(14))
            .state());
    assertEquals(
        FeatureLevel.FIRST,
        rollout
            .evaluate(
                new Rollout.Site(new FeatureLevel(2), ALL, all(2, 2), FeatureLevel.FIRST, 0, 0),
                at(15))
            .to());
  }

  /**
   * Controllers join and leave at random: the level rises only when all expected and all live
   * controllers have supported it for long enough.
   */
  @Property(tries = 300, seed = "4")
  void levelRisesOnlyWithAllControllers(@ForAll Random random) {
    Rollout rollout = new Rollout();
    Map<ControllerId, Rollout.LiveController> alive = new HashMap<>();
    Map<ControllerId, Double> since = new HashMap<>();
    double now = 0;
    for (int step = 0; step < 60; step++) {
      now += random.nextDouble() * 6;
      double changed = now;
      for (ControllerId member : ALL) {
        if (random.nextInt(8) == 0) {
          alive.remove(member);
          since.remove(member);
        } else if (random.nextInt(6) == 0 || (random.nextBoolean() && !alive.containsKey(member))) {
          alive.put(
              member,
              new Rollout.LiveController(
                  Build.present("b", 1 + random.nextInt(3)), new Incarnation(step + 1)));
          since.put(member, changed);
        }
      }
      Rollout.Decision decision = rollout.evaluate(site(1, Map.copyOf(alive)), at(now));
      if (decision.to() != null) {
        assertEquals(2, decision.to().number());
        for (ControllerId member : ALL) {
          assertTrue(alive.get(member).build().maxLevel().number() >= 2);
          assertTrue(now - since.get(member) > Rollout.STEADY_TIME.seconds());
        }
      }
    }
  }

  /**
   * A live controller that is not expected counts, because it reads the records like any other; one
   * that operators marked as removed does not.
   */
  @Example
  void countsUnexpectedButNotRemovedControllers() {
    Rollout rollout = new Rollout();
    Map<ControllerId, Rollout.LiveController> alive = all(2, 2);
    alive.put(
        new ControllerId("stranger"),
        new Rollout.LiveController(Build.BEFORE_LEVELS, new Incarnation(7)));
    rollout.evaluate(site(1, alive), at(0));
    assertNull(rollout.evaluate(site(1, alive), at(30)).to());
    alive = all(2, 2);
    alive.remove(new ControllerId("c"));
    assertNull(rollout.evaluate(site(1, alive), at(60)).to());
    Rollout.Site without =
        new Rollout.Site(
            FeatureLevel.FIRST,
            Set.of(new ControllerId("a"), new ControllerId("b")),
            alive,
            ANY,
            0,
            0);
    assertEquals(new FeatureLevel(2), rollout.evaluate(without, at(80)).to());
    assertThrows(
        IllegalArgumentException.class,
        () -> new Build("b", new FeatureLevel(3), new FeatureLevel(2)));
    assertThrows(IllegalArgumentException.class, () -> Build.present("b", 0));
  }
}
