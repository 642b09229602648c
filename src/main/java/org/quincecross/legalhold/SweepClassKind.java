package org.quincecross.legalhold;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.replicated.AuditEvent;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.Transition;

/**
 * The replicated record kind of sweep classes, named by the job class: the series that jobs of the
 * class may access, {@code *} for any. Empty if the class is not a sweep class.
 */
public final class SweepClassKind
    implements RecordKind<List<RecordSelector>, List<RecordSelector>> {
  public static final String NAME = "sweeps";

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<RecordSelector> initial() {
    return List.of();
  }

  @Override
  public boolean canBlockTasks() {
    return true;
  }

  @Override
  public boolean blocksMoreTasks(List<RecordSelector> before, List<RecordSelector> next) {
    return !before.containsAll(next);
  }

  @Override
  public Transition<List<RecordSelector>> step(
      List<RecordSelector> series, List<RecordSelector> next, CommandOrigin at) {
    if (at.by().isBlank()) {
      return new Transition.Refused<>(400, "who says so is to be named (by)");
    }
    if (series.equals(next)) {
      return new Transition.Unchanged<>("so already");
    }
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("series", texts(next));
    return new Transition.Changed<>(
        next, List.of(new AuditEvent(next.isEmpty() ? "no sweeps" : "sweeps", details)));
  }

  private static List<Object> texts(List<RecordSelector> series) {
    List<Object> texts = new ArrayList<>();
    series.forEach(each -> texts.add(each.series()));
    return texts;
  }

  private static List<RecordSelector> series(RecordFields in) throws MalformedRecordException {
    List<RecordSelector> series = new ArrayList<>();
    for (String text : in.texts("series")) {
      RecordSelector selector;
      try {
        selector =
            text.equals(RecordSelector.ANY.series())
                ? RecordSelector.ANY
                : RecordSelector.parse(text);
      } catch (IllegalArgumentException e) {
        throw new MalformedRecordException("field series: " + e.getMessage());
      }
      if (selector.isPeriod() || selector.isKey()) {
        throw new MalformedRecordException("field series: " + text + " is not a whole series");
      }
      series.add(selector);
    }
    return List.copyOf(series);
  }

  @Override
  public List<RecordSelector> read(Map<String, Object> value) throws MalformedRecordException {
    return series(RecordFields.of(value, "a lane of sweeps"));
  }

  @Override
  public List<RecordSelector> command(Map<String, Object> body) throws MalformedRecordException {
    RecordFields in = RecordFields.of(body, "the command").allowOnly(List.of("series"));
    if (!in.has("series")) {
      throw new MalformedRecordException(
          "field series of the command is missing; [] says that the lane has no sweeps");
    }
    return series(in);
  }

  @Override
  public Map<String, Object> write(List<RecordSelector> series) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("series", texts(series));
    return out;
  }

  @Override
  public List<Map<String, Object>> rows(String id, List<RecordSelector> series, CommandOrigin at) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("lane", id);
    row.put("series", String.join(" ", series.stream().map(RecordSelector::series).toList()));
    return List.of(row);
  }
}
