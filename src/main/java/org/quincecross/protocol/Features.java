package org.quincecross.protocol;

import java.util.List;
import java.util.Map;
import org.quincecross.model.TimeSpan;
import org.quincecross.overload.Shares;
import org.quincecross.rollout.Build;
import org.quincecross.rollout.Feature;
import org.quincecross.rollout.FeatureLevel;

/**
 * What is switched on beyond the core, by a file under {@code deploy/}; the same file for all
 * controllers.
 *
 * @param overload how work is ordered when there is too much of it; null: by due time alone
 * @param build what this controller announces: which levels of the stored state it takes part in
 * @param servedEvery how often it is logged who was served; null: it is not counted
 * @param agreed the parts that rest on records that all controllers follow, each with its settings;
 *     null: there are no such records
 */
public record Features(
    Shares overload,
    TimeSpan accountingInterval,
    Build build,
    Map<String, Object> replicatedFeatures) {
  public static final Features NONE = new Features(null, null, Build.BEFORE_LEVELS, null);

  /** The parts that {@code agreed} may name; each reads its settings itself. */
  private static final List<String> AGREED_PARTS = List.of("holds", "requests", "models");

  private static final double LEAST_LOG_S = 1;
  private static final double MOST_LOG_S = 86_400;

  public Features(Shares overload, TimeSpan servedEvery, Build build) {
    this(overload, servedEvery, build, null);
  }

  /**
   * Reads the file; unknown names are refused, for a misspelt one would be off without anybody
   * noticing.
   */
  public static Features read(byte[] bytes) throws MalformedMessageException {
    Object value = Json.parse(bytes);
    JsonFields in = JsonFields.of(value, "the features");
    known(value, "the features", List.of("overload", "served", "rollout", "agreed"));
    Shares overload = null;
    if (in.has("overload")) {
      known(
          in.raw("overload"), "overload", List.of("usable", "coming", "floor", "turns", "begin_s"));
      JsonFields each = in.fields("overload");
      overload =
          new Shares(
              share(each, "usable", Shares.DEFAULTS.usable()),
              share(each, "coming", Shares.DEFAULTS.coming()),
              share(each, "floor", Shares.DEFAULTS.floor()),
              share(each, "turns", Shares.DEFAULTS.turns()),
              each.has("begin_s") ? each.nonNegativeNumber("begin_s") : Shares.DEFAULTS.beginS());
      if (overload.beginS() > Shares.MOST_BEGIN_S) {
        throw new MalformedMessageException(
            "field begin_s of overload is more than " + (int) Shares.MOST_BEGIN_S);
      }
      if (overload.usable() == 0 || overload.floor() + overload.turns() > 0.5) {
        throw new MalformedMessageException(
            "overload: usable is to be above 0, and floor and turns together at most 0.5");
      }
    }
    TimeSpan served = null;
    if (in.has("served")) {
      known(in.raw("served"), "served", List.of("log_every_s"));
      double every = in.fields("served").positiveNumber("log_every_s");
      if (every < LEAST_LOG_S || every > MOST_LOG_S) {
        throw new MalformedMessageException("field log_every_s of served is not from 1 to 86400");
      }
      served = TimeSpan.ofSeconds(every);
    }
    Map<String, Object> agreed = null;
    if (in.has("agreed")) {
      known(in.raw("agreed"), "agreed", AGREED_PARTS);
      agreed = Map.copyOf(in.fields("agreed").unknownFields(List.of()));
      if (!in.has("rollout")) {
        throw new MalformedMessageException("agreed comes with a level: name rollout as well");
      }
    }
    // A build announces what it does: the level that agreed records come with only where they are
    // switched on.
    FeatureLevel newest =
        agreed == null ? Feature.AGREED_RECORDS.since().previous() : FeatureLevel.NEWEST;
    Build build = Build.BEFORE_LEVELS;
    if (in.has("rollout")) {
      known(in.raw("rollout"), "rollout", List.of("build", "most_level"));
      JsonFields each = in.fields("rollout");
      int most =
          each.has("most_level") ? each.integer("most_level", 1, newest.number()) : newest.number();
      build = Build.present(each.stringOr("build", "unnamed"), most);
    }
    return new Features(overload, served, build, agreed);
  }

  private static double share(JsonFields in, String name, double otherwise)
      throws MalformedMessageException {
    double share = in.has(name) ? in.nonNegativeNumber(name) : otherwise;
    if (share > 1) {
      throw new MalformedMessageException("field " + name + " of overload is more than 1");
    }
    return share;
  }

  private static void known(Object value, String where, List<String> names)
      throws MalformedMessageException {
    if (value instanceof Map<?, ?> map) {
      for (Object name : map.keySet()) {
        if (!names.contains(name)) {
          throw new MalformedMessageException("unknown name " + name + " in " + where);
        }
      }
    }
  }
}
