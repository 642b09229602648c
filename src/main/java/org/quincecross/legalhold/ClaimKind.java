package org.quincecross.legalhold;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;
import org.quincecross.replicated.AuditEvent;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.Transition;

/**
 * The replicated record kind of claims, in pages named {@code <job>.<page>}. A page is never
 * changed once recorded, because a task may have run under it; the job has to be cancelled and
 * submitted under a new id instead.
 */
public final class ClaimKind implements RecordKind<List<Claim>, List<Claim>> {
  public static final String NAME = "claims";

  /** Upper limit of the tasks of a job. */
  public static final int MOST_TASKS = 100_000;

  /** Upper limit of the characters of claims in one page. */
  public static final int MOST_PAGE = 2600;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<Claim> initial() {
    return List.of();
  }

  @Override
  public boolean restrains() {
    return true;
  }

  /**
   * Before its first claim, a job whose class is not a sweep class was assumed to access nothing.
   */
  @Override
  public boolean startsWithholding(List<Claim> before, List<Claim> next) {
    return !next.equals(before);
  }

  @Override
  public Transition<List<Claim>> step(List<Claim> claims, List<Claim> told, CommandOrigin at) {
    if (claims.equals(told)) {
      return new Transition.Same<>("told already");
    }
    if (!claims.isEmpty()) {
      return new Transition.Refused<>(
          409,
          "told otherwise already: tasks may have run by it; cancel the job and submit it under a new id");
    }
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("claims", told.size());
    details.put("tasks", told.stream().mapToInt(each -> each.tasks().size()).sum());
    return new Transition.Changed<>(told, List.of(new AuditEvent("told", details)));
  }

  /** Returns the job that a page belongs to, or null. */
  public static JobId job(String id) {
    int dot = id.indexOf('.');
    return JobId.parse(dot < 0 ? id : id.substring(0, dot));
  }

  private static List<Claim> claims(RecordFields in) throws MalformedRecordException {
    List<Claim> claims = new ArrayList<>();
    for (RecordFields each : in.bodies("claims")) {
      each.only(List.of("tasks", "records"));
      TaskSet tasks = TaskSet.parse(each.text("tasks"), MOST_TASKS);
      if (tasks == null || tasks.isEmpty()) {
        throw new MalformedRecordException(
            "field tasks of a claim: '"
                + each.text("tasks")
                + "' is not like 0-15,17, all below "
                + MOST_TASKS);
      }
      claims.add(new Claim(tasks, LegalHoldKind.records(each, "records")));
    }
    return List.copyOf(claims);
  }

  @Override
  public List<Claim> read(Map<String, Object> value) throws MalformedRecordException {
    return claims(RecordFields.of(value, "a page of claims"));
  }

  @Override
  public List<Claim> command(Map<String, Object> body) throws MalformedRecordException {
    RecordFields in = RecordFields.of(body, "the command").only(List.of("claims"));
    List<Claim> claims = claims(in);
    if (claims.isEmpty()) {
      throw new MalformedRecordException("field claims is empty");
    }
    if (claims.stream().mapToInt(ClaimKind::length).sum() > MOST_PAGE) {
      throw new MalformedRecordException(
          "field claims is longer than "
              + MOST_PAGE
              + " characters: tell the rest as another page");
    }
    return claims;
  }

  /** Returns the approximate length of a claim as written. */
  public static int length(Claim claim) {
    return 27
        + claim.tasks().textLength()
        + claim.records().stream().mapToInt(each -> each.toString().length() + 3).sum();
  }

  @Override
  public Map<String, Object> write(List<Claim> claims) {
    List<Object> list = new ArrayList<>();
    for (Claim claim : claims) {
      Map<String, Object> out = new LinkedHashMap<>();
      out.put("tasks", claim.tasks().toString());
      out.put("records", claim.records().stream().map(Records::toString).toList());
      list.add(out);
    }
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("claims", list);
    return out;
  }

  @Override
  public List<Map<String, Object>> rows(String id, List<Claim> claims, CommandOrigin at) {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (Claim claim : claims) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("page", id);
      row.put("tasks", claim.tasks().toString());
      row.put(
          "records", String.join(" ", claim.records().stream().map(Records::toString).toList()));
      rows.add(row);
    }
    return rows;
  }
}
