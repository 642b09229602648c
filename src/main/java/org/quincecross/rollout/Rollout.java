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
 * When the level may change. It rises by one once every controller of the site has announced, in
 * its present life and for a time, that it can read and write the next; of all that the settings
 * name, not only of those that are alive: one that is away may come back with its old build. It
 * falls by one when operators want it lower, and nothing is left that only the higher one can read.
 */
public final class Rollout {
  /**
   * For so long all have to have been there: one that fails at once with the new build is to be
   * seen first.
   */
  public static final TimeSpan STEADY = TimeSpan.ofSeconds(10);

  /** The states of a site with regard to its level. */
  public enum State {
    /** Every controller's newest level is in force. */
    SETTLED,
    /** Some controller is away, or cannot do the next level. */
    WAITING,
    /** Operators hold the next level back. */
    HELD,
    /** All can, since a moment ago. */
    STEADYING,
    /** What the present level changes in old records is still to be written. */
    MIGRATING,
    /** Operators want a lower level: what only the present one can read is being rewritten. */
    LOWERING,
    /** The next or the previous level may be put in force now. */
    READY
  }

  /** A controller that is alive. */
  public record Alive(Build build, Incarnation incarnation) {}

  /**
   * A site as its leader sees it.
   *
   * @param expected all controllers that the settings name, and that operators have not said to be
   *     gone
   * @param most the highest level that operators want
   * @param toMigrate records in a form of the level before
   * @param onlyHere records that a lower level could not read
   */
  public record Site(
      FeatureLevel inForce,
      Set<ControllerId> expected,
      Map<ControllerId, Alive> alive,
      FeatureLevel most,
      int toMigrate,
      int onlyHere) {}

  /**
   * What is to be done.
   *
   * @param to the level to put in force, or null
   * @param why what holds the next level back, in words; empty where nothing does
   */
  public record Decision(State state, FeatureLevel to, String why) {}

  private record Seen(Alive alive, MonotonicTime since) {}

  private final Map<ControllerId, Seen> seen = new HashMap<>();
  private State state = State.SETTLED;

  public State state() {
    return state;
  }

  /** The one place where the state changes. */
  private Decision enter(State next, FeatureLevel to, String why) {
    state = next;
    return new Decision(next, to, why);
  }

  /** Looks at the site; a leader does so now and then. */
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

  /** Who cannot do a level, and why; empty if all can. */
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
    // One that nobody expects, but that is there, counts as well: it reads the records like any
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
