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
public final class ClaimKind implements RecordKind<List<RecordClaim>, List<RecordClaim>> {
  public static final String NAME = "claims";

  /** Upper limit of the tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /** Upper limit of the characters of claims in one page. */
  public static final int MAX_PAGE_LENGTH = 2600;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public List<RecordClaim> initial() {
    return List.of();
  }

  @Override
  public boolean canBlockTasks() {
    return true;
  }

  /**
   * Before its first claim, a job whose class is not a sweep class was assumed to access nothing.
   */
  @Override
  public boolean blocksMoreTasks(List<RecordClaim> before, List<RecordClaim> next) {
    return !next.equals(before);
  }

  @Override
  public Transition<List<RecordClaim>> step(
      List<RecordClaim> claims, List<RecordClaim> recorded, CommandOrigin at) {
    if (claims.equals(recorded)) {
      return new Transition.Unchanged<>("told already");
    }
    if (!claims.isEmpty()) {
      return new Transition.Refused<>(
          409,
          "told otherwise already: tasks may have run by it; cancel the job and submit it under a new id");
    }
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("claims", recorded.size());
    details.put("tasks", recorded.stream().mapToInt(each -> each.tasks().size()).sum());
    return new Transition.Changed<>(recorded, List.of(new AuditEvent("told", details)));
  }

  /** Returns the job that a page belongs to, or null. */
  public static JobId job(String id) {
    int dot = id.indexOf('.');
    return JobId.parse(dot < 0 ? id : id.substring(0, dot));
  }

  private static List<RecordClaim> claims(RecordFields in) throws MalformedRecordException {
    List<RecordClaim> claims = new ArrayList<>();
    for (RecordFields fields : in.objects("claims")) {
      fields.allowOnly(List.of("tasks", "records"));
      TaskSet tasks = TaskSet.parse(fields.text("tasks"), MAX_TASKS);
      if (tasks == null || tasks.isEmpty()) {
        throw new MalformedRecordException(
            "field tasks of a claim: '"
                + fields.text("tasks")
                + "' is not like 0-15,17, all below "
                + MAX_TASKS);
      }
      claims.add(new RecordClaim(tasks, LegalHoldKind.records(fields, "records")));
    }
    return List.copyOf(claims);
  }

  @Override
  public List<RecordClaim> read(Map<String, Object> value) throws MalformedRecordException {
    return claims(RecordFields.of(value, "a page of claims"));
  }

  @Override
  public List<RecordClaim> command(Map<String, Object> body) throws MalformedRecordException {
    RecordFields in = RecordFields.of(body, "the command").allowOnly(List.of("claims"));
    List<RecordClaim> claims = claims(in);
    if (claims.isEmpty()) {
      throw new MalformedRecordException("field claims is empty");
    }
    if (claims.stream().mapToInt(ClaimKind::length).sum() > MAX_PAGE_LENGTH) {
      throw new MalformedRecordException(
          "field claims is longer than "
              + MAX_PAGE_LENGTH
              + " characters: tell the rest as another page");
    }
    return claims;
  }

  /** Returns the approximate length of a claim as written. */
  public static int length(RecordClaim claim) {
    return 27
        + claim.tasks().textLength()
        + claim.records().stream().mapToInt(each -> each.toString().length() + 3).sum();
  }

  @Override
  public Map<String, Object> write(List<RecordClaim> claims) {
    List<Object> list = new ArrayList<>();
    for (RecordClaim claim : claims) {
      Map<String, Object> out = new LinkedHashMap<>();
      out.put("tasks", claim.tasks().toString());
      out.put("records", claim.records().stream().map(RecordSelector::toString).toList());
      list.add(out);
    }
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("claims", list);
    return out;
  }

  @Override
  public List<Map<String, Object>> rows(String id, List<RecordClaim> claims, CommandOrigin at) {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (RecordClaim claim : claims) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("page", id);
      row.put("tasks", claim.tasks().toString());
      row.put(
          "records",
          String.join(" ", claim.records().stream().map(RecordSelector::toString).toList()));
      rows.add(row);
    }
    return rows;
  }
}
