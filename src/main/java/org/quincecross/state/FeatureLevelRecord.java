package org.quincecross.state;

import java.util.Map;
import org.quincecross.model.Revision;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.FeatureLevel;

/**
 * The feature level in force.
 *
 * @param version the revision at which it took effect for all controllers; none while no level is
 *     stored, which means the first
 */
public record FeatureLevelRecord(FeatureLevel level, Revision version) {
  public static final FeatureLevelRecord NONE =
      new FeatureLevelRecord(FeatureLevel.FIRST, Revision.NONE);

  static FeatureLevelRecord read(Object value, Revision version) throws MalformedMessageException {
    return new FeatureLevelRecord(
        new FeatureLevel(
            JsonFields.of(value, "the level").integer("level", 1, FeatureLevel.MAX_NUMBER)),
        version);
  }

  /** Writes the record of a level. */
  public static Map<String, Object> write(FeatureLevel level) {
    return Json.object("level", level.number());
  }
}
