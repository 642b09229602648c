package org.quincecross.state;

import java.util.List;
import java.util.Map;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.FeatureLevel;

/**
 * The operators' settings, the same on all controllers.
 *
 * @param scaleOut whether machines are launched
 * @param scaleIn whether idle machines are terminated
 * @param idleSeconds how long a machine is kept idle, beyond half its boot time
 * @param spareTasks for how many more tasks of the highest priority there is always capacity
 * @param maxLevel the highest feature level that may be put in force; 0 for any
 * @param removedControllers controllers that the settings file names and that will not return
 */
public record OperatorSettings(
    boolean scaleOut,
    boolean scaleIn,
    double idleSeconds,
    int spareTasks,
    int maxLevel,
    List<String> removedControllers) {
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(true, true, 25, 2, 0, List.of());
  private static final double MAX_IDLE_S = 86_400;
  private static final int MAX_SPARE_TASKS = 1000;

  /**
   * Reads an operator's change; absent fields keep their value of {@code before}. Unknown names are
   * refused.
   */
  public static OperatorSettings read(Object value, OperatorSettings before)
      throws MalformedMessageException {
    for (String name : unknownFields(value).keySet()) {
      throw new MalformedMessageException("unknown setting " + name);
    }
    return readRecord(value, before);
  }

  /**
   * Reads the stored record. Unknown names are those of a newer build and are ignored: refusing the
   * record would make an older build launch machines although operators have forbidden it.
   */
  static OperatorSettings readRecord(Object value, OperatorSettings before)
      throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "the settings");
    double idle = in.has("idle_s") ? in.nonNegativeNumber("idle_s") : before.idleSeconds();
    if (idle > MAX_IDLE_S) {
      throw new MalformedMessageException("field idle_s of the settings is longer than a day");
    }
    return new OperatorSettings(
        in.boolOr("renting", before.scaleOut()),
        in.boolOr("returning", before.scaleIn()),
        idle,
        in.has("spare_tasks") ? in.integer("spare_tasks", 0, MAX_SPARE_TASKS) : before.spareTasks(),
        in.has("most_level")
            ? in.integer("most_level", 0, FeatureLevel.MAX_NUMBER)
            : before.maxLevel(),
        in.has("gone") ? List.copyOf(in.strings("gone")) : before.removedControllers());
  }

  /** The fields of a record that this build does not know. */
  public static Map<String, Object> unknownFields(Object value) throws MalformedMessageException {
    return value == null
        ? Map.of()
        : JsonFields.of(value, "the settings").unknownFields(DEFAULTS.write().keySet());
  }

  /** Writes the settings, as they are stored and as operators see them. */
  public Map<String, Object> write() {
    return Json.object(
        "renting",
        scaleOut,
        "returning",
        scaleIn,
        "idle_s",
        idleSeconds,
        "spare_tasks",
        spareTasks,
        "most_level",
        maxLevel,
        "gone",
        removedControllers);
  }
}
