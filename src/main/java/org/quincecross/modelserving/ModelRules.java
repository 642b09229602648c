package org.quincecross.modelserving;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.model.MachineId;
import org.quincecross.modelserving.Model.Phase;
import org.quincecross.modelserving.Model.Placement;
import org.quincecross.replicated.AuditEvent;
import org.quincecross.replicated.Transition;

/** State transitions of a model's record. */
public final class ModelRules {
  /** Limit on avoided machines, which keeps the record within its size limit. */
  private static final int MAX_AVOIDED_MACHINES = 8;

  static final int CONFLICT = 409;
  static final int NOT_FOUND = 404;

  private ModelRules() {}

  /**
   * Applies a command to a model. {@code atMs} is a time of day that is only recorded, never
   * compared.
   */
  public static Transition<Model> step(Model model, ModelCommand command, long atMs) {
    if (command instanceof ModelCommand.Define define) {
      return define(model, define, atMs);
    }
    if (!model.isDefined()) {
      return new Transition.Refused<>(NOT_FOUND, "no such model is defined");
    }
    if (command instanceof ModelCommand.Wake) {
      return wake(model, atMs);
    }
    if (command instanceof ModelCommand.Drain drain) {
      return drain(model, drain, atMs);
    }
    if (command instanceof ModelCommand.Place place) {
      return isStale(model, place.epoch())
          ? rejectStale(model, place.epoch())
          : place(model, place);
    }
    if (command instanceof ModelCommand.MarkWarm warm) {
      return isStale(model, warm.epoch())
          ? rejectStale(model, warm.epoch())
          : model.phase() == Phase.STARTING
              ? changed(model.inPhase(Phase.WARM, atMs, "its replicas run"))
              : unchanged(model);
    }
    if (command instanceof ModelCommand.RemoveReplicas remove) {
      return isStale(model, remove.epoch())
          ? rejectStale(model, remove.epoch())
          : removeReplicas(model, remove, atMs);
    }
    if (command instanceof ModelCommand.Scale scale) {
      return isStale(model, scale.epoch())
          ? rejectStale(model, scale.epoch())
          : scale(model, scale);
    }
    if (command instanceof ModelCommand.MarkDrained drained) {
      return isStale(model, drained.epoch())
          ? rejectStale(model, drained.epoch())
          : model.phase() == Phase.DRAINING
              ? changed(
                  model
                      .withPlacements(Map.of())
                      .withAvoidedMachines(Set.of())
                      .withDesiredReplicas(0)
                      .inPhase(Phase.ZERO, atMs, model.reason()))
              : unchanged(model);
    }
    throw new IllegalArgumentException(command.toString());
  }

  private static boolean isStale(Model model, long epoch) {
    return model.epoch() != epoch;
  }

  private static Transition<Model> rejectStale(Model model, long epoch) {
    return new Transition.Refused<>(
        CONFLICT, "decided in epoch " + epoch + ", and this is epoch " + model.epoch());
  }

  private static Transition<Model> unchanged(Model model) {
    return new Transition.Unchanged<>("it is " + model.phase() + " in epoch " + model.epoch());
  }

  private static Transition<Model> changed(Model next) {
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("epoch", next.epoch());
    details.put("wanted", (long) next.desiredReplicas());
    details.put("placed", (long) next.placements().size());
    details.put("why", next.reason());
    return new Transition.Changed<>(
        next, List.of(new AuditEvent(next.phase().toString().toLowerCase(Locale.ROOT), details)));
  }

  private static Transition<Model> define(Model model, ModelCommand.Define define, long atMs) {
    if (model.isDefined() && !model.job().equals(define.job())) {
      return new Transition.Refused<>(CONFLICT, "the model is " + model.job() + " already");
    }
    if (model.isDefined()) {
      return define.limits().equals(model.limits())
          ? unchanged(model)
          : changed(model.withLimits(define.limits()));
    }
    // Replicas that run already must be stopped first. A new model therefore starts in DRAINING and
    // reaches ZERO only when nothing is left on any machine.
    return changed(
        new Model(
            define.job(),
            define.limits(),
            Phase.DRAINING,
            1,
            0,
            Map.of(),
            Set.of(),
            0,
            atMs,
            "defined"));
  }

  private static Transition<Model> wake(Model model, long atMs) {
    if (model.isUp()) {
      return unchanged(model);
    }
    int desired = Math.max(1, model.limits().minReplicas());
    // When a drain is reverted, replicas that still run are kept. A replica that was stopped starts
    // again in the new epoch on the same machine, where its weights are cached.
    Map<Integer, Placement> kept = new TreeMap<>();
    model
        .placements()
        .forEach(
            (replica, placement) -> {
              if (kept.size() < desired) {
                kept.put(replica, new Placement(placement.machine(), model.epoch() + 1));
              }
            });
    return changed(
        model
            .withPlacements(kept)
            .withDesiredReplicas(desired)
            .inPhase(
                Phase.STARTING,
                atMs,
                model.phase() == Phase.DRAINING ? "woken while it drained" : "woken"));
  }

  private static Transition<Model> drain(Model model, ModelCommand.Drain drain, long atMs) {
    boolean anyEpoch = drain.epoch() == ModelCommand.ANY_EPOCH;
    if (!anyEpoch && isStale(model, drain.epoch())) {
      return rejectStale(model, drain.epoch());
    }
    // A model that is STARTING has just been requested, so the leader may not drain it; only a WARM
    // one.
    boolean allowed = anyEpoch ? model.isUp() : model.phase() == Phase.WARM;
    return allowed
        ? changed(model.withIdleMs(drain.idleMs()).inPhase(Phase.DRAINING, atMs, drain.reason()))
        : unchanged(model);
  }

  private static Transition<Model> place(Model model, ModelCommand.Place place) {
    Map<Integer, Placement> placements = new TreeMap<>(model.placements());
    place
        .machines()
        .forEach(
            (replica, machine) ->
                placements.putIfAbsent(replica, new Placement(machine, model.epoch() + 1)));
    boolean fits =
        model.isUp()
            && placements.size() <= model.desiredReplicas()
            && placements.keySet().stream().allMatch(replica -> replica >= 0);
    if (!fits || placements.size() == model.placements().size()) {
      return unchanged(model);
    }
    return changed(withNextEpoch(model.withPlacements(placements)));
  }

  /** Returns the model in the same phase with a new epoch. */
  private static Model withNextEpoch(Model model) {
    return model.inPhase(model.phase(), model.phaseSinceMs(), model.reason());
  }

  private static Transition<Model> removeReplicas(
      Model model, ModelCommand.RemoveReplicas remove, long atMs) {
    Map<Integer, Placement> placements = new TreeMap<>(model.placements());
    if (!model.isUp() || !placements.keySet().removeAll(remove.replicas())) {
      return unchanged(model);
    }
    Set<MachineId> avoidedMachines = new TreeSet<>(model.avoidedMachines());
    remove.badMachines().stream().limit(MAX_AVOIDED_MACHINES).forEach(avoidedMachines::add);
    while (avoidedMachines.size() > MAX_AVOIDED_MACHINES) {
      avoidedMachines.remove(
          avoidedMachines.stream()
              .filter(machine -> !remove.badMachines().contains(machine))
              .findFirst()
              .orElseThrow());
    }
    // With no replica left the model has to start cold again.
    Phase next = placements.isEmpty() ? Phase.STARTING : model.phase();
    return changed(
        model
            .withPlacements(placements)
            .withAvoidedMachines(avoidedMachines)
            .inPhase(next, next == model.phase() ? model.phaseSinceMs() : atMs, remove.reason()));
  }

  private static Transition<Model> scale(Model model, ModelCommand.Scale scale) {
    int desired =
        Math.max(
            Math.max(1, model.limits().minReplicas()),
            Math.min(scale.replicas(), model.limits().maxReplicas()));
    if (!model.isUp() || desired == model.desiredReplicas()) {
      return unchanged(model);
    }
    TreeMap<Integer, Placement> placements = new TreeMap<>(model.placements());
    while (placements.size() > desired) {
      placements.remove(placements.lastKey());
    }
    return changed(withNextEpoch(model.withPlacements(placements).withDesiredReplicas(desired)));
  }
}
