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
  public static final TimeSpan STEADY = TimeSpan.ofSeconds(10);

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
  public record Alive(Build build, Incarnation incarnation) {}

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
      FeatureLevel inForce,
      Set<ControllerId> expected,
      Map<ControllerId, Alive> alive,
      FeatureLevel most,
      int toMigrate,
      int onlyHere) {}

  /**
   * The decision.
   *
   * @param to the level to put into effect, or null
   * @param why what holds the next level back, as text; empty if nothing does
   */
  public record Decision(State state, FeatureLevel to, String why) {}

  private record Seen(Alive alive, MonotonicTime since) {}

  private final Map<ControllerId, Seen> seen = new HashMap<>();
  private State state = State.SETTLED;

  public State state() {
    return state;
  }

  /** The only method that changes the state. */
  private Decision enter(State next, FeatureLevel to, String why) {
    state = next;
    return new Decision(next, to, why);
  }

  /** Evaluates the site; called by the leader at intervals. */
  public Decision look(Site site, MonotonicTime now) {
    seen.keySet().retainAll(site.alive().keySet());
    site.alive()
        .forEach(
            (member, alive) -> {
              Seen before = seen.get(member);
              if (before == null || !before.alive.equals(alive)) {
                seen.put(member, new Seen(alive, now));
              }
            });
    if (site.inForce().isAbove(site.most()) && site.inForce().isAbove(FeatureLevel.FIRST)) {
      return lower(site);
    }
    return raise(site, now);
  }

  private Decision lower(Site site) {
    FeatureLevel to = site.inForce().previous();
    String unable = unable(site, to);
    if (!unable.isEmpty()) {
      return enter(
          State.WAITING, null, "level " + to + ", which operators want, waits for " + unable);
    }
    return site.onlyHere() > 0
        ? enter(
            State.LOWERING, null, site.onlyHere() + " records that level " + to + " could not read")
        : enter(State.READY, to, "");
  }

  private Decision raise(Site site, MonotonicTime now) {
    FeatureLevel to = site.inForce().next();
    String unable = unable(site, to);
    boolean someCan = site.alive().values().stream().anyMatch(alive -> alive.build().can(to));
    if (!someCan) {
      return enter(State.SETTLED, null, "");
    }
    if (to.isAbove(site.most())) {
      return enter(State.HELD, null, "operators hold level " + to + " back");
    }
    if (!unable.isEmpty()) {
      return enter(State.WAITING, null, "level " + to + " waits for " + unable);
    }
    if (site.toMigrate() > 0) {
      return enter(
          State.MIGRATING,
          null,
          site.toMigrate() + " records are still in the form before level " + site.inForce());
    }
    for (ControllerId member : site.expected()) {
      if (!now.since(seen.get(member).since()).isLongerThan(STEADY)) {
        return enter(State.STEADYING, null, member + " has not been there for " + STEADY + " yet");
      }
    }
    return enter(State.READY, to, "");
  }

  /** Describes the controllers that do not support a level, and why; empty if all do. */
  private static String unable(Site site, FeatureLevel level) {
    List<String> unable = new ArrayList<>();
    new TreeMap<>(name(site.expected()))
        .forEach(
            (name, member) -> {
              Alive alive = site.alive().get(member);
              if (alive == null) {
                unable.add(name + ", which is away");
              } else if (!alive.build().can(level)) {
                unable.add(
                    name
                        + ", whose build ("
                        + alive.build().name()
                        + ") ends at level "
                        + alive.build().most());
              }
            });
    // A live controller that is not expected counts as well, because it reads the records like any
    // other.
    site.alive()
        .forEach(
            (member, alive) -> {
              if (!site.expected().contains(member) && !alive.build().can(level)) {
                unable.add(member + ", which no settings name");
              }
            });
    return String.join("; ", unable);
  }

  private static Map<String, ControllerId> name(Set<ControllerId> members) {
    Map<String, ControllerId> named = new HashMap<>();
    members.forEach(member -> named.put(member.text(), member));
    return named;
  }
}
