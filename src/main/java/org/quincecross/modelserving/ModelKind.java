package org.quincecross.modelserving;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.Model.Phase;
import org.quincecross.modelserving.Model.Placement;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.Transition;

/** The replicated record kind of served models: format of commands, records and listing rows. */
public final class ModelKind implements RecordKind<Model, ModelCommand> {
  public static final String NAME = "models";

  /** Limit that keeps a record with all placements within one stored value. */
  static final int MAX_REPLICAS = 48;

  /**
   * Idle time recorded for a drain by an operator. A controller that saw demand within this time
   * before it learns of the drain takes the demand as newer and wakes the model again.
   */
  private static final long OPERATOR_DRAIN_IDLE_MS = 1000;

  private static final int MAX_REQUESTS_PER_REPLICA = 100_000;
  private static final double MAX_IDLE_TIMEOUT_S = 30 * 86_400;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Model initial() {
    return Model.UNDEFINED;
  }

  @Override
  public boolean canBlockTasks() {
    return true;
  }

  @Override
  public boolean blocksMoreTasks(Model before, Model next) {
    if (!before.isDefined()) {
      return true;
    }
    return before.isUp()
        && !(next.isUp() && next.placements().keySet().containsAll(before.placements().keySet()));
  }

  @Override
  public Transition<Model> step(Model state, ModelCommand command, CommandOrigin at) {
    return ModelRules.step(state, command, at.timeOfDayMs());
  }

  // ---- operator commands ----

  @Override
  public ModelCommand command(Map<String, Object> value) throws MalformedRecordException {
    RecordFields body = RecordFields.of(value, "the command");
    switch (body.text("do")) {
      case "wake" -> {
        body.allowOnly(List.of("do"));
        return new ModelCommand.Wake();
      }
      case "drain" -> {
        body.allowOnly(List.of("do"));
        return new ModelCommand.Drain(
            ModelCommand.ANY_EPOCH, OPERATOR_DRAIN_IDLE_MS, "drained by an operator");
      }
      case "define" -> {
        body.allowOnly(List.of("do", "job", "least", "most", "per_replica", "idle_s", "keep_warm"));
        return new ModelCommand.Define(readJob(body), readLimits(body));
      }
      default ->
          throw new MalformedRecordException(
              "field do of the command is not one of define, wake, drain");
    }
  }

  private static JobId readJob(RecordFields body) throws MalformedRecordException {
    JobId job = JobId.parse(body.text("job"));
    if (job == null) {
      throw new MalformedRecordException("field job is no job id: job- and digits");
    }
    return job;
  }

  private static Model.ScalingLimits readLimits(RecordFields body) throws MalformedRecordException {
    int minReplicas = (int) body.integerOr("least", 1, MAX_REPLICAS, 1);
    int maxReplicas = (int) body.integerOr("most", 1, MAX_REPLICAS, minReplicas);
    if (maxReplicas < minReplicas) {
      throw new MalformedRecordException("field most is below field least");
    }
    return new Model.ScalingLimits(
        minReplicas,
        maxReplicas,
        (int) body.integerOr("per_replica", 1, MAX_REQUESTS_PER_REPLICA, 1),
        TimeSpan.ofSeconds(body.has("idle_s") ? body.amount("idle_s", 1, MAX_IDLE_TIMEOUT_S) : 300),
        (int) body.integerOr("keep_warm", 0, MAX_REPLICAS, 0));
  }

  // ---- stored record ----

  @Override
  public Model read(Map<String, Object> value) throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a model");
    if (!in.has("job")) {
      return Model.UNDEFINED;
    }
    Map<Integer, Placement> placements = new TreeMap<>();
    for (RecordFields placement : in.objects("places")) {
      placements.put(
          (int) placement.integer("replica", 0, Integer.MAX_VALUE),
          new Placement(
              new MachineId(placement.text("machine")),
              placement.integer("epoch", 0, Long.MAX_VALUE)));
    }
    Set<MachineId> avoided = new TreeSet<>();
    in.texts("avoided").forEach(machine -> avoided.add(new MachineId(machine)));
    return new Model(
        readJob(in),
        readLimits(in.object("terms")),
        in.enumConstant("state", Phase.class),
        in.integer("epoch", 0, Long.MAX_VALUE),
        (int) in.integer("wanted", 0, MAX_REPLICAS),
        placements,
        avoided,
        in.integer("quiet_ms", 0, Long.MAX_VALUE),
        in.integer("since_ms", 0, Long.MAX_VALUE),
        in.text("why"));
  }

  @Override
  public Map<String, Object> write(Model model) {
    Map<String, Object> out = new LinkedHashMap<>();
    if (!model.isDefined()) {
      return out;
    }
    out.put("job", model.job().text());
    out.put("state", model.phase().name());
    out.put("epoch", model.epoch());
    out.put("wanted", (long) model.desiredReplicas());
    List<Object> placements = new ArrayList<>();
    model
        .placements()
        .forEach(
            (replica, place) -> {
              Map<String, Object> fields = new LinkedHashMap<>();
              fields.put("replica", (long) replica);
              fields.put("machine", place.machine().text());
              fields.put("epoch", place.epoch());
              placements.add(fields);
            });
    out.put("places", placements);
    out.put("avoided", model.avoidedMachines().stream().map(MachineId::text).toList());
    out.put("quiet_ms", model.idleMs());
    out.put("since_ms", model.phaseSinceMs());
    out.put("why", model.reason());
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("least", (long) model.limits().minReplicas());
    limits.put("most", (long) model.limits().maxReplicas());
    limits.put("per_replica", (long) model.limits().requestsPerReplica());
    limits.put("idle_s", model.limits().idleTimeout().seconds());
    limits.put("keep_warm", (long) model.limits().cachedMachines());
    out.put("terms", limits);
    return out;
  }

  @Override
  public List<Map<String, Object>> rows(String id, Model model, CommandOrigin at) {
    if (!model.isDefined()) {
      return List.of();
    }
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("model", id);
    row.put("job", model.job().text());
    row.put("state", model.phase().name().toLowerCase(Locale.ROOT));
    row.put("epoch", model.epoch());
    row.put("wanted", (long) model.desiredReplicas());
    row.put("placed", (long) model.placements().size());
    row.put("for_s", Math.max(0, (at.timeOfDayMs() - model.phaseSinceMs()) / 1000));
    row.put("why", model.reason());
    return List.of(row);
  }
}
