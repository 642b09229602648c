package org.quincecross.state;

import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;
import org.quincecross.rollout.FeatureLevel;

/**
 * The record of a live controller. It is attached to the lease that the incarnation is named after.
 *
 * @param build the feature levels that the controller supports
 * @param announcedLimits the parts of its settings that have to be equal on all controllers
 */
public record ControllerRecord(
    ControllerId id,
    Incarnation incarnation,
    String zone,
    Build build,
    AnnouncedLimits announcedLimits,
    Revision version) {
  /**
   * Reads the build that a controller announces; a controller that announces none predates feature
   * levels.
   */
  private static Build readBuild(JsonFields in) throws MalformedMessageException {
    if (!in.has("build")) {
      return Build.BEFORE_LEVELS;
    }
    FeatureLevel least = new FeatureLevel(in.integer("least", 1, FeatureLevel.MAX_NUMBER));
    return new Build(
        in.string("build"),
        least,
        new FeatureLevel(in.integer("most", least.number(), FeatureLevel.MAX_NUMBER)));
  }

  static ControllerRecord read(Object value, Revision version) throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a member");
    return new ControllerRecord(
        new ControllerId(in.string("member")),
        new Incarnation(in.unsigned("life")),
        in.string("zone"),
        readBuild(in),
        announcedLimits(in),
        version);
  }

  private static AnnouncedLimits announcedLimits(JsonFields in) throws MalformedMessageException {
    if (!in.has("marks")) {
      return AnnouncedLimits.NONE;
    }
    Map<String, String> marks = new TreeMap<>();
    JsonFields marked = in.fields("marks");
    for (String part : marked.fieldNames()) {
      marks.put(part, marked.string(part));
    }
    Map<String, Resources> limits = new TreeMap<>();
    JsonFields limited = in.fields("limits");
    for (String team : limited.fieldNames()) {
      JsonFields limit = limited.fields(team);
      limits.put(
          team,
          new Resources(
              limit.has("cpus") ? limit.nonNegativeNumber("cpus") : Double.POSITIVE_INFINITY,
              limit.has("gpus") ? limit.nonNegativeNumber("gpus") : Double.POSITIVE_INFINITY,
              limit.has("memory_gb")
                  ? limit.nonNegativeNumber("memory_gb")
                  : Double.POSITIVE_INFINITY));
    }
    return new AnnouncedLimits(marks, limits);
  }

  /**
   * Writes the record, as a member or as the leader.
   *
   * @param withLimits whether it contains the announced limits
   */
  Map<String, Object> write(boolean withLimits) {
    Map<String, Object> record =
        Json.object("member", id.text(), "life", incarnation.value(), "zone", zone);
    if (!build.equals(Build.BEFORE_LEVELS)) {
      record.put("build", build.name());
      record.put("least", build.minLevel().number());
      record.put("most", build.maxLevel().number());
      if (withLimits) {
        record.put("marks", announcedLimits.checksums());
        Map<String, Object> limits = new TreeMap<>();
        announcedLimits.limits().forEach((team, limit) -> limits.put(team, finite(limit)));
        record.put("limits", limits);
      }
    }
    return record;
  }

  /** The finite resources of a limit: JSON cannot express infinity. */
  private static Map<String, Object> finite(Resources limit) {
    Map<String, Object> out = new TreeMap<>();
    Map.of("cpus", limit.cpus(), "gpus", limit.gpus(), "memory_gb", limit.memoryGb())
        .forEach(
            (name, amount) -> {
              if (!amount.isInfinite()) {
                out.put(name, amount);
              }
            });
    return out;
  }
}
