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
import org.quincecross.modelserving.Model.Place;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.Transition;

/** Models as a kind of agreed record. */
public final class ModelKind implements RecordKind<Model, ModelCommand> {
  public static final String NAME = "models";

  /** With their places the record has to fit one value. */
  static final int MOST_REPLICAS = 48;

  /**
   * Who sees that an operator has drained it, and was asked for it less than this before, takes
   * that for later.
   */
  private static final long SAME_INSTANT_MS = 1000;

  private static final int MOST_PER_REPLICA = 100_000;
  private static final double MOST_IDLE_S = 30 * 86_400;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Model initial() {
    return Model.NONE;
  }

  @Override
  public boolean restrains() {
    return true;
  }

  @Override
  public boolean startsWithholding(Model before, Model next) {
    if (!before.isDefined()) {
      return true;
    }
    return before.isUp()
        && !(next.isUp() && next.places().keySet().containsAll(before.places().keySet()));
  }

  @Override
  public Transition<Model> step(Model state, ModelCommand command, CommandOrigin at) {
    return ModelRules.step(state, command, at.timeOfDayMs());
  }

  // ---- what operators send ----

  @Override
  public ModelCommand command(Map<String, Object> value) throws MalformedRecordException {
    RecordFields body = RecordFields.of(value, "the command");
    switch (body.text("do")) {
      case "wake" -> {
        body.only(List.of("do"));
        return new ModelCommand.Wake();
      }
      case "drain" -> {
        body.only(List.of("do"));
        return new ModelCommand.Drain(ModelCommand.ANY, SAME_INSTANT_MS, "drained by an operator");
      }
      case "define" -> {
        body.only(List.of("do", "job", "least", "most", "per_replica", "idle_s", "keep_warm"));
        return new ModelCommand.Define(job(body), terms(body));
      }
      default ->
          throw new MalformedRecordException(
              "field do of the command is not one of define, wake, drain");
    }
  }

  private static JobId job(RecordFields body) throws MalformedRecordException {
    JobId job = JobId.parse(body.text("job"));
    if (job == null) {
      throw new MalformedRecordException("field job is no job id: job- and digits");
    }
    return job;
  }

  private static Model.Terms terms(RecordFields body) throws MalformedRecordException {
    int least = (int) body.integerOr("least", 1, MOST_REPLICAS, 1);
    int most = (int) body.integerOr("most", 1, MOST_REPLICAS, least);
    if (most < least) {
      throw new MalformedRecordException("field most is below field least");
    }
    return new Model.Terms(
        least,
        most,
        (int) body.integerOr("per_replica", 1, MOST_PER_REPLICA, 1),
        TimeSpan.ofSeconds(body.has("idle_s") ? body.amount("idle_s", 1, MOST_IDLE_S) : 300),
        (int) body.integerOr("keep_warm", 0, MOST_REPLICAS, 0));
  }

  // ---- the record ----

  @Override
  public Model read(Map<String, Object> value) throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a model");
    if (!in.has("job")) {
      return Model.NONE;
    }
    Map<Integer, Place> places = new TreeMap<>();
    for (RecordFields place : in.bodies("places")) {
      places.put(
          (int) place.integer("replica", 0, Integer.MAX_VALUE),
          new Place(
              new MachineId(place.text("machine")), place.integer("epoch", 0, Long.MAX_VALUE)));
    }
    Set<MachineId> avoided = new TreeSet<>();
    in.texts("avoided").forEach(machine -> avoided.add(new MachineId(machine)));
    return new Model(
        job(in),
        terms(in.body("terms")),
        in.word("state", Phase.class),
        in.integer("epoch", 0, Long.MAX_VALUE),
        (int) in.integer("wanted", 0, MOST_REPLICAS),
        places,
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
    out.put("wanted", (long) model.wanted());
    List<Object> places = new ArrayList<>();
    model
        .places()
        .forEach(
            (replica, place) -> {
              Map<String, Object> each = new LinkedHashMap<>();
              each.put("replica", (long) replica);
              each.put("machine", place.machine().text());
              each.put("epoch", place.epoch());
              places.add(each);
            });
    out.put("places", places);
    out.put("avoided", model.avoided().stream().map(MachineId::text).toList());
    out.put("quiet_ms", model.quietMs());
    out.put("since_ms", model.sinceMs());
    out.put("why", model.why());
    Map<String, Object> terms = new LinkedHashMap<>();
    terms.put("least", (long) model.terms().least());
    terms.put("most", (long) model.terms().most());
    terms.put("per_replica", (long) model.terms().perReplica());
    terms.put("idle_s", model.terms().idle().seconds());
    terms.put("keep_warm", (long) model.terms().keepWarm());
    out.put("terms", terms);
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
    row.put("wanted", (long) model.wanted());
    row.put("placed", (long) model.places().size());
    row.put("for_s", Math.max(0, (at.timeOfDayMs() - model.sinceMs()) / 1000));
    row.put("why", model.why());
    return List.of(row);
  }
}
