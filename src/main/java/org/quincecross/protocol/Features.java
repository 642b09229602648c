package org.quincecross.protocol;

import java.util.List;
import java.util.Map;
import org.quincecross.model.TimeSpan;
import org.quincecross.overload.Shares;
import org.quincecross.rollout.Build;
import org.quincecross.rollout.Feature;
import org.quincecross.rollout.FeatureLevel;

/**
 * Optional features, switched on by a file under {@code deploy/} that is the same for all
 * controllers.
 *
 * @param overload how work is ordered when there is too much of it; null: by due time alone
 * @param build the feature levels of the stored state that this controller announces
 * @param accountingInterval how often the service levels are logged; null: they are not accounted
 * @param replicatedFeatures the features based on replicated records, each with its settings; null:
 *     there are no such records
 */
public record Features(
    Shares overload,
    TimeSpan accountingInterval,
    Build build,
    Map<String, Object> replicatedFeatures) {
  public static final Features NONE = new Features(null, null, Build.BEFORE_LEVELS, null);

  /** The features that the file may name; each reads its own settings. */
  private static final List<String> REPLICATED_FEATURES = List.of("holds", "requests", "models");

  private static final double MIN_LOG_INTERVAL_S = 1;
  private static final double MAX_LOG_INTERVAL_S = 86_400;

  /** Creates features without replicated records. */
  public Features(Shares overload, TimeSpan servedEvery, Build build) {
    this(overload, servedEvery, build, null);
  }

  /**
   * Reads the file. Unknown names are refused: a misspelt feature would be off without anybody
   * noticing.
   */
  public static Features read(byte[] bytes) throws MalformedMessageException {
    Object value = Json.parse(bytes);
    JsonFields in = JsonFields.of(value, "the features");
    checkNames(value, "the features", List.of("overload", "served", "rollout", "agreed"));
    Shares overload = in.has("overload") ? overload(in) : null;
    TimeSpan accountingInterval = in.has("served") ? accountingInterval(in) : null;
    Map<String, Object> replicated = in.has("agreed") ? replicatedFeatures(in) : null;
    return new Features(overload, accountingInterval, build(in, replicated != null), replicated);
  }

  private static Shares overload(JsonFields features) throws MalformedMessageException {
    checkNames(
        features.raw("overload"),
        "overload",
        List.of("usable", "coming", "floor", "turns", "begin_s"));
    JsonFields in = features.fields("overload");
    Shares shares =
        new Shares(
            share(in, "usable", Shares.DEFAULTS.usable()),
            share(in, "coming", Shares.DEFAULTS.earlierDue()),
            share(in, "floor", Shares.DEFAULTS.floor()),
            share(in, "turns", Shares.DEFAULTS.deferred()),
            in.has("begin_s")
                ? in.nonNegativeNumber("begin_s")
                : Shares.DEFAULTS.startGuaranteeS());
    if (shares.startGuaranteeS() > Shares.MAX_START_GUARANTEE_S) {
      throw new MalformedMessageException(
          "field begin_s of overload is more than " + (int) Shares.MAX_START_GUARANTEE_S);
    }
    if (shares.usable() == 0 || shares.floor() + shares.deferred() > 0.5) {
      throw new MalformedMessageException(
          "overload: usable is to be above 0, and floor and turns together at most 0.5");
    }
    return shares;
  }

  private static TimeSpan accountingInterval(JsonFields features) throws MalformedMessageException {
    checkNames(features.raw("served"), "served", List.of("log_every_s"));
    double seconds = features.fields("served").positiveNumber("log_every_s");
    if (seconds < MIN_LOG_INTERVAL_S || seconds > MAX_LOG_INTERVAL_S) {
      throw new MalformedMessageException("field log_every_s of served is not from 1 to 86400");
    }
    return TimeSpan.ofSeconds(seconds);
  }

  private static Map<String, Object> replicatedFeatures(JsonFields features)
      throws MalformedMessageException {
    checkNames(features.raw("agreed"), "agreed", REPLICATED_FEATURES);
    if (!features.has("rollout")) {
      throw new MalformedMessageException("agreed comes with a level: name rollout as well");
    }
    return Map.copyOf(features.fields("agreed").unknownFields(List.of()));
  }

  private static Build build(JsonFields features, boolean hasReplicatedRecords)
      throws MalformedMessageException {
    if (!features.has("rollout")) {
      return Build.BEFORE_LEVELS;
    }
    // A build announces the level of replicated records only where they are switched on.
    FeatureLevel newest =
        hasReplicatedRecords ? FeatureLevel.NEWEST : Feature.AGREED_RECORDS.since().previous();
    checkNames(features.raw("rollout"), "rollout", List.of("build", "most_level"));
    JsonFields in = features.fields("rollout");
    int max = in.has("most_level") ? in.integer("most_level", 1, newest.number()) : newest.number();
    return Build.present(in.stringOr("build", "unnamed"), max);
  }

  private static double share(JsonFields in, String name, double otherwise)
      throws MalformedMessageException {
    double share = in.has(name) ? in.nonNegativeNumber(name) : otherwise;
    if (share > 1) {
      throw new MalformedMessageException("field " + name + " of overload is more than 1");
    }
    return share;
  }

  private static void checkNames(Object value, String where, List<String> names)
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
