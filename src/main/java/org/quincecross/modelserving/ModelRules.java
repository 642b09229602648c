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
import org.quincecross.modelserving.Model.Place;
import org.quincecross.replicated.AuditEvent;
import org.quincecross.replicated.Transition;

/** The one function by which a model's record changes. */
public final class ModelRules {
  /** What a record remembers of machines that failed is bounded, as the record is. */
  private static final int MOST_AVOIDED = 8;

  static final int CONFLICT = 409;
  static final int UNKNOWN = 404;

  private ModelRules() {}

  /**
   * The one place where a model changes its state; {@code atMs} is a time of day, for the record
   * alone.
   */
  public static Transition<Model> step(Model model, ModelCommand command, long atMs) {
    if (command instanceof ModelCommand.Define define) {
      return define(model, define, atMs);
    }
    if (!model.isDefined()) {
      return new Transition.Refused<>(UNKNOWN, "no such model is defined");
    }
    if (command instanceof ModelCommand.Wake) {
      return wake(model, atMs);
    }
    if (command instanceof ModelCommand.Drain drain) {
      return drain(model, drain, atMs);
    }
    if (command instanceof ModelCommand.Choose choose) {
      return stale(model, choose.epoch()) ? late(model, choose.epoch()) : choose(model, choose);
    }
    if (command instanceof ModelCommand.Ready ready) {
      return stale(model, ready.epoch())
          ? late(model, ready.epoch())
          : model.phase() == Phase.STARTING
              ? changed(model.in(Phase.WARM, atMs, "its replicas run"))
              : same(model);
    }
    if (command instanceof ModelCommand.Lose lose) {
      return stale(model, lose.epoch()) ? late(model, lose.epoch()) : lose(model, lose, atMs);
    }
    if (command instanceof ModelCommand.Scale scale) {
      return stale(model, scale.epoch()) ? late(model, scale.epoch()) : scale(model, scale);
    }
    if (command instanceof ModelCommand.Gone gone) {
      return stale(model, gone.epoch())
          ? late(model, gone.epoch())
          : model.phase() == Phase.DRAINING
              ? changed(
                  model
                      .with(Map.of())
                      .avoiding(Set.of())
                      .wanting(0)
                      .in(Phase.ZERO, atMs, model.why()))
              : same(model);
    }
    throw new IllegalArgumentException(command.toString());
  }

  private static boolean stale(Model model, long epoch) {
    return model.epoch() != epoch;
  }

  private static Transition<Model> late(Model model, long epoch) {
    return new Transition.Refused<>(
        CONFLICT, "decided in epoch " + epoch + ", and this is epoch " + model.epoch());
  }

  private static Transition<Model> same(Model model) {
    return new Transition.Same<>("it is " + model.phase() + " in epoch " + model.epoch());
  }

  private static Transition<Model> changed(Model next) {
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("epoch", next.epoch());
    details.put("wanted", (long) next.wanted());
    details.put("placed", (long) next.places().size());
    details.put("why", next.why());
    return new Transition.Changed<>(
        next, List.of(new AuditEvent(next.phase().toString().toLowerCase(Locale.ROOT), details)));
  }

  private static Transition<Model> define(Model model, ModelCommand.Define define, long atMs) {
    if (model.isDefined() && !model.job().equals(define.job())) {
      return new Transition.Refused<>(CONFLICT, "the model is " + model.job() + " already");
    }
    if (model.isDefined()) {
      return define.terms().equals(model.terms())
          ? same(model)
          : changed(model.under(define.terms()));
    }
    // What runs already is stopped in order: a model begins at zero, and that is known only once
    // nothing is left of it.
    return changed(
        new Model(
            define.job(),
            define.terms(),
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
      return same(model);
    }
    int wanted = Math.max(1, model.terms().least());
    // What still runs of a drain that is turned back is kept; a replica that was stopped starts in
    // the new epoch, where its weights are.
    Map<Integer, Place> kept = new TreeMap<>();
    model
        .places()
        .forEach(
            (replica, place) -> {
              if (kept.size() < wanted) {
                kept.put(replica, new Place(place.machine(), model.epoch() + 1));
              }
            });
    return changed(
        model
            .with(kept)
            .wanting(wanted)
            .in(
                Phase.STARTING,
                atMs,
                model.phase() == Phase.DRAINING ? "woken while it drained" : "woken"));
  }

  private static Transition<Model> drain(Model model, ModelCommand.Drain drain, long atMs) {
    boolean any = drain.epoch() == ModelCommand.ANY;
    if (!any && stale(model, drain.epoch())) {
      return late(model, drain.epoch());
    }
    // Where it starts, somebody has just asked for it.
    boolean may = any ? model.isUp() : model.phase() == Phase.WARM;
    return may
        ? changed(model.quietFor(drain.quietMs()).in(Phase.DRAINING, atMs, drain.why()))
        : same(model);
  }

  private static Transition<Model> choose(Model model, ModelCommand.Choose choose) {
    Map<Integer, Place> places = new TreeMap<>(model.places());
    choose
        .places()
        .forEach(
            (replica, machine) ->
                places.putIfAbsent(replica, new Place(machine, model.epoch() + 1)));
    boolean fits =
        model.isUp()
            && places.size() <= model.wanted()
            && places.keySet().stream().allMatch(replica -> replica >= 0);
    if (!fits || places.size() == model.places().size()) {
      return same(model);
    }
    return changed(raised(model.with(places)));
  }

  /** The same state, in a new epoch. */
  private static Model raised(Model model) {
    return model.in(model.phase(), model.sinceMs(), model.why());
  }

  private static Transition<Model> lose(Model model, ModelCommand.Lose lose, long atMs) {
    Map<Integer, Place> places = new TreeMap<>(model.places());
    if (!model.isUp() || !places.keySet().removeAll(lose.replicas())) {
      return same(model);
    }
    Set<MachineId> avoided = new TreeSet<>(model.avoided());
    lose.bad().stream().limit(MOST_AVOIDED).forEach(avoided::add);
    while (avoided.size() > MOST_AVOIDED) {
      avoided.remove(
          avoided.stream()
              .filter(machine -> !lose.bad().contains(machine))
              .findFirst()
              .orElseThrow());
    }
    // With none left it is a cold start again.
    Phase next = places.isEmpty() ? Phase.STARTING : model.phase();
    return changed(
        model
            .with(places)
            .avoiding(avoided)
            .in(next, next == model.phase() ? model.sinceMs() : atMs, lose.why()));
  }

  private static Transition<Model> scale(Model model, ModelCommand.Scale scale) {
    int wanted =
        Math.max(
            Math.max(1, model.terms().least()), Math.min(scale.wanted(), model.terms().most()));
    if (!model.isUp() || wanted == model.wanted()) {
      return same(model);
    }
    TreeMap<Integer, Place> places = new TreeMap<>(model.places());
    while (places.size() > wanted) {
      places.remove(places.lastKey());
    }
    return changed(raised(model.with(places).wanting(wanted)));
  }
}
