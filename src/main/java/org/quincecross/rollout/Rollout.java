package org.quincecross.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Decides when the feature level may change. It rises by one once every controller of the site has
 * announced, in its current incarnation and for some time, that it supports the next level. This
 * includes all controllers in the settings, not only live ones, because an unreachable controller
 * may return with its old build. It falls by one if operators request a lower level and no record
 * is left that only the higher level can read.
 */
public final class Rollout {
  /**
   * How long all controllers have to be up, so that a new build that fails at once is noticed
   * first.
   */
  public static final TimeSpan STEADY_TIME = TimeSpan.ofSeconds(10);

  /** The states of a site with regard to its feature level. */
  public enum State {
    /** The highest level that every controller supports is in effect. */
    SETTLED,
    /** Some controller is unreachable, or does not support the next level. */
    WAITING,
    /** Operators hold the next level back. */
    HELD,
    /** All controllers support the next level, but have not been up for long enough. */
    STEADYING,
    /** Records in the format before the current level still have to be rewritten. */
    MIGRATING,
    /**
     * Operators request a lower level: records that only the current level can read are being
     * rewritten.
     */
    LOWERING,
    /** The next or the previous level may be put into effect now. */
    READY
  }

  /** A live controller. */
  public record LiveController(Build build, Incarnation incarnation) {}

  /**
   * The site as its leader sees it.
   *
   * @param expected all controllers in the settings, without those that operators have marked as
   *     removed
   * @param maxLevel highest level that operators allow
   * @param toMigrate number of records in the format of the previous level
   * @param unreadableBelow number of records that the next lower level could not read
   */
  public record Site(
      FeatureLevel inEffect,
      Set<ControllerId> expected,
      Map<ControllerId, LiveController> live,
      FeatureLevel maxLevel,
      int toMigrate,
      int unreadableBelow) {}

  /**
   * The decision.
   *
   * @param to the level to put into effect, or null
   * @param reason what holds the next level back, as text; empty if nothing does
   */
  public record Decision(State state, FeatureLevel to, String reason) {}

  private record Observation(LiveController controller, MonotonicTime since) {}

  private final Map<ControllerId, Observation> observations = new HashMap<>();
  private State state = State.SETTLED;

  public State state() {
    return state;
  }

  /** The only method that changes the state. */
  private Decision setState(State next, FeatureLevel to, String reason) {
    state = next;
    return new Decision(next, to, reason);
  }

  /** Evaluates the site; called by the leader at intervals. */
  public Decision evaluate(Site site, MonotonicTime now) {
    observations.keySet().retainAll(site.live().keySet());
    site.live()
        .forEach(
            (member, controller) -> {
              Observation previous = observations.get(member);
              if (previous == null || !previous.controller.equals(controller)) {
                observations.put(member, new Observation(controller, now));
              }
            });
    if (site.inEffect().isAbove(site.maxLevel()) && site.inEffect().isAbove(FeatureLevel.FIRST)) {
      return lower(site);
    }
    return raise(site, now);
  }

  private Decision lower(Site site) {
    FeatureLevel to = site.inEffect().previous();
    String unsupported = unsupportedBy(site, to);
    if (!unsupported.isEmpty()) {
      return setState(
          State.WAITING, null, "level " + to + ", which operators want, waits for " + unsupported);
    }
    return site.unreadableBelow() > 0
        ? setState(
            State.LOWERING,
            null,
            site.unreadableBelow() + " records that level " + to + " could not read")
        : setState(State.READY, to, "");
  }

  private Decision raise(Site site, MonotonicTime now) {
    FeatureLevel to = site.inEffect().next();
    String unsupported = unsupportedBy(site, to);
    boolean someSupport =
        site.live().values().stream().anyMatch(controller -> controller.build().supports(to));
    if (!someSupport) {
      return setState(State.SETTLED, null, "");
    }
    if (to.isAbove(site.maxLevel())) {
      return setState(State.HELD, null, "operators hold level " + to + " back");
    }
    if (!unsupported.isEmpty()) {
      return setState(State.WAITING, null, "level " + to + " waits for " + unsupported);
    }
    if (site.toMigrate() > 0) {
      return setState(
          State.MIGRATING,
          null,
          site.toMigrate() + " records are still in the form before level " + site.inEffect());
    }
    for (ControllerId member : site.expected()) {
      if (!now.since(observations.get(member).since()).isLongerThan(STEADY_TIME)) {
        return setState(
            State.STEADYING, null, member + " has not been there for " + STEADY_TIME + " yet");
      }
    }
    return setState(State.READY, to, "");
  }

  /** Describes the controllers that do not support a level, and why; empty if all do. */
  private static String unsupportedBy(Site site, FeatureLevel level) {
    List<String> unsupported = new ArrayList<>();
    new TreeMap<>(byName(site.expected()))
        .forEach(
            (name, member) -> {
              LiveController controller = site.live().get(member);
              if (controller == null) {
                unsupported.add(name + ", which is away");
              } else if (!controller.build().supports(level)) {
                unsupported.add(
                    name
                        + ", whose build ("
                        + controller.build().name()
                        + ") ends at level "
                        + controller.build().maxLevel());
              }
            });
    // A live controller that is not expected counts as well, because it reads the records like any
    // other.
    site.live()
        .forEach(
            (member, controller) -> {
              if (!site.expected().contains(member) && !controller.build().supports(level)) {
                unsupported.add(member + ", which no settings name");
              }
            });
    return String.join("; ", unsupported);
  }

  private static Map<String, ControllerId> byName(Set<ControllerId> members) {
    Map<String, ControllerId> named = new HashMap<>();
    members.forEach(member -> named.put(member.text(), member));
    return named;
  }
}
