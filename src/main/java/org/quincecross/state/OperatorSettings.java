package org.quincecross.state;

import java.util.List;
import java.util.Map;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.FeatureLevel;

/**
 * The operators' own settings, the same on all controllers.
 *
 * @param renting whether machines are rented
 * @param returning whether idle machines go back
 * @param idleSeconds how long a machine is kept idle, beyond half its boot time
 * @param mostLevel the highest level that may be put in force; 0: any
 * @param gone controllers that the platform's file names and that will not come back
 * @param spareTasks for how many more tasks of the highest priority there is always to be room
 */
public record OperatorSettings(
    boolean renting,
    boolean returning,
    double idleSeconds,
    int spareTasks,
    int mostLevel,
    List<String> gone) {
  public static final OperatorSettings DEFAULTS =
      new OperatorSettings(true, true, 25, 2, 0, List.of());
  private static final double LONGEST_IDLE_S = 86_400;
  private static final int MOST_SPARE = 1000;

  /**
   * Reads what an operator says; what is left out keeps its value of {@code before}. Unknown names
   * are refused.
   */
  public static OperatorSettings read(Object value, OperatorSettings before)
      throws MalformedMessageException {
    for (String name : unknown(value).keySet()) {
      throw new MalformedMessageException("unknown setting " + name);
    }
    return readRecord(value, before);
  }

  /**
   * Reads the record. Names that this build does not know are those of a newer one: were the record
   * refused for them, an older controller would rent although operators have said that nothing is
   * to be rented.
   */
  static OperatorSettings readRecord(Object value, OperatorSettings before)
      throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "the settings");
    double idle = in.has("idle_s") ? in.nonNegativeNumber("idle_s") : before.idleSeconds();
    if (idle > LONGEST_IDLE_S) {
      throw new MalformedMessageException("field idle_s of the settings is longer than a day");
    }
    return new OperatorSettings(
        in.boolOr("renting", before.renting()),
        in.boolOr("returning", before.returning()),
        idle,
        in.has("spare_tasks") ? in.integer("spare_tasks", 0, MOST_SPARE) : before.spareTasks(),
        in.has("most_level") ? in.integer("most_level", 0, FeatureLevel.MOST) : before.mostLevel(),
        in.has("gone") ? List.copyOf(in.strings("gone")) : before.gone());
  }

  /** The settings of a record that this build does not know. */
  public static Map<String, Object> unknown(Object value) throws MalformedMessageException {
    return value == null
        ? Map.of()
        : JsonFields.of(value, "the settings").unknownFields(DEFAULTS.write().keySet());
  }

  public Map<String, Object> write() {
    return Json.object(
        "renting",
        renting,
        "returning",
        returning,
        "idle_s",
        idleSeconds,
        "spare_tasks",
        spareTasks,
        "most_level",
        mostLevel,
        "gone",
        gone);
  }
}
