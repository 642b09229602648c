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
public final class SweepKind implements RecordKind<List<Records>, List<Records>> {
  public static final String NAME = "sweeps";

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Records> initial() {
    return List.of();
  }

  @Override
  public boolean restrains() {
    return true;
  }

  @Override
  public boolean startsWithholding(List<Records> before, List<Records> next) {
    return !before.containsAll(next);
  }

  @Override
  public Transition<List<Records>> step(
      List<Records> series, List<Records> next, CommandOrigin at) {
    if (at.by().isBlank()) {
      return new Transition.Refused<>(400, "who says so is to be named (by)");
    }
    if (series.equals(next)) {
      return new Transition.Same<>("so already");
    }
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("series", texts(next));
    return new Transition.Changed<>(
        next, List.of(new AuditEvent(next.isEmpty() ? "no sweeps" : "sweeps", details)));
  }

  private static List<Object> texts(List<Records> series) {
    List<Object> texts = new ArrayList<>();
    series.forEach(each -> texts.add(each.series()));
    return texts;
  }

  private static List<Records> series(RecordFields in) throws MalformedRecordException {
    List<Records> series = new ArrayList<>();
    for (String text : in.texts("series")) {
      Records one;
      try {
        one = text.equals(Records.ANY.series()) ? Records.ANY : Records.parse(text);
      } catch (IllegalArgumentException e) {
        throw new MalformedRecordException("field series: " + e.getMessage());
      }
      if (one.isPeriod() || one.isKey()) {
        throw new MalformedRecordException("field series: " + text + " is not a whole series");
      }
      series.add(one);
    }
    return List.copyOf(series);
  }

  @Override
  public List<Records> read(Map<String, Object> value) throws MalformedRecordException {
    return series(RecordFields.of(value, "a lane of sweeps"));
  }

  @Override
  public List<Records> command(Map<String, Object> body) throws MalformedRecordException {
    RecordFields in = RecordFields.of(body, "the command").only(List.of("series"));
    if (!in.has("series")) {
      throw new MalformedRecordException(
          "field series of the command is missing; [] says that the lane has no sweeps");
    }
    return series(in);
  }

  @Override
  public Map<String, Object> write(List<Records> series) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("series", texts(series));
    return out;
  }

  @Override
  public List<Map<String, Object>> rows(String id, List<Records> series, CommandOrigin at) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("lane", id);
    row.put("series", String.join(" ", series.stream().map(Records::series).toList()));
    return List.of(row);
  }
}
