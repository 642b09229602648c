package org.quincecross.state;

import java.util.Map;
import org.quincecross.model.Revision;
import org.quincecross.rollout.Level;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.Json;

/**
 * The level in force.
 *
 * @param version with which it took effect, for everybody; none while no record says a level, which
 *     is the first then
 */
public record FeatureLevelRecord(Level level, Revision version) {
  public static final FeatureLevelRecord NONE = new FeatureLevelRecord(Level.FIRST, Revision.NONE);

  static FeatureLevelRecord read(Object value, Revision version) throws MalformedMessageException {
    return new FeatureLevelRecord(
        new Level(JsonFields.of(value, "the level").integer("level", 1, Level.MOST)), version);
  }

  public static Map<String, Object> write(Level level) {
    return Json.object("level", level.number());
  }
}
