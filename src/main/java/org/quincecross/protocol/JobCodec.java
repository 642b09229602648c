package org.quincecross.protocol;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/** Jobs as users submit them, and the responses to users. */
public final class JobCodec {
  public static final int MAX_TASKS = 100_000;
  public static final String JOBS_PATH = "/v2/runs";
  public static final String CANCEL_SUFFIX = "/cancel";
  public static final String HEALTH_PATH = "/up";

  /** The field with the ids of the jobs that a job depends on. */
  public static final String DEPENDENCIES = "WaitsOn";

  /** The number of unfinished dependencies that a status names; their total is given as well. */
  private static final int MAX_NAMED_DEPENDENCIES = 20;

  private static final Map<String, JobKind> SHAPES =
      Map.of("sweep", JobKind.ARRAY, "gang", JobKind.GANG, "standing", JobKind.SERVICE);
  private static final Map<String, Priority> RANKS =
      Map.of(
          "critical",
          Priority.PRODUCTION,
          "high",
          Priority.HIGH,
          "standard",
          Priority.NORMAL,
          "idle",
          Priority.LOW);

  private JobCodec() {}

  /** Reads the id alone, so that a known job can be answered whatever else the body contains. */
  public static JobId readId(JsonFields in) throws MalformedMessageException {
    JobId id = JobId.parse(in.string("Uid"));
    if (id == null) {
      throw new MalformedMessageException("field Uid is not a job id");
    }
    return id;
  }

  /** The fields of a job's description. */
  public static final Set<String> FIELDS =
      Set.of(
          "Uid",
          "Lane",
          "Crew",
          "Shape",
          "Rank",
          "Pieces",
          "Cpus",
          "Cards",
          "MemGb",
          "Hulls",
          "Yard",
          "OneZone",
          "Scatter",
          "Loaners",
          "Bundle",
          "ImageGb",
          "GuessS",
          "MarkEveryS",
          "MarkCostS",
          "DueS",
          DEPENDENCIES);

  /** Reads a job from a stored record. */
  public static Job readRecord(JsonFields in) throws MalformedMessageException {
    List<String> types = in.has("Hulls") ? in.strings("Hulls") : null;
    return new Job(
        readId(in),
        in.string("Lane"),
        in.string("Crew"),
        in.enumValue("Shape", SHAPES),
        in.enumValue("Rank", RANKS),
        in.integer("Pieces", 1, MAX_TASKS),
        new Resources(
            in.positiveNumber("Cpus"),
            in.has("Cards") ? in.nonNegativeNumber("Cards") : 0,
            in.nonNegativeNumber("MemGb")),
        types == null ? null : new LinkedHashSet<>(types),
        in.stringOr("Yard", null),
        in.boolOr("OneZone", false),
        in.boolOr("Scatter", false),
        in.boolOr("Loaners", false),
        in.string("Bundle"),
        in.nonNegativeNumber("ImageGb"),
        TimeSpan.ofSeconds(in.nonNegativeNumber("GuessS")),
        TimeSpan.ofSeconds(in.nonNegativeNumber("MarkEveryS")),
        TimeSpan.ofSeconds(in.nonNegativeNumber("MarkCostS")),
        in.has("DueS") ? TimeSpan.ofSeconds(in.nonNegativeNumber("DueS")) : null,
        in.has(DEPENDENCIES) ? ids(in.strings(DEPENDENCIES)) : Set.of());
  }

  /** Duplicate ids count once. */
  private static Set<JobId> ids(List<String> texts) throws MalformedMessageException {
    Set<JobId> ids = new HashSet<>();
    for (String text : texts) {
      JobId id = JobId.parse(text);
      if (id == null) {
        throw new MalformedMessageException(
            "field " + DEPENDENCIES + " has an item that is not a job id");
      }
      ids.add(id);
    }
    return Collections.unmodifiableSet(ids); // the same order in every process
  }

  /** Fields that a record omits at their default, and that a submission has to contain. */
  private static final Map<String, Object> OPTIONAL_IN_RECORDS =
      Map.of("Cards", 0.0, "OneZone", false, "Scatter", false, "Loaners", false);

  /**
   * Reads a submitted job.
   *
   * @throws MalformedMessageException if a field is missing, including those that a record may omit
   *     (docs/incidents/accepted-without-a-field.md)
   */
  public static Job readSubmission(JsonFields in) throws MalformedMessageException {
    in.requireAll(OPTIONAL_IN_RECORDS.keySet());
    return readRecord(in);
  }

  /** Writes a job as users submit it, with all fields except null ones. */
  public static Map<String, Object> writeSubmission(Job job) {
    Map<String, Object> out = writeRecord(job);
    OPTIONAL_IN_RECORDS.forEach(out::putIfAbsent);
    return out;
  }

  /** Writes a job for a stored record; fields at their default are omitted. */
  public static Map<String, Object> writeRecord(Job job) {
    Map<String, Object> out =
        Json.object(
            "Uid",
            job.id().text(),
            "Lane",
            job.jobClass(),
            "Crew",
            job.team(),
            "Shape",
            name(SHAPES, job.kind()),
            "Rank",
            name(RANKS, job.priority()),
            "Pieces",
            job.taskCount(),
            "Cpus",
            job.taskResources().cpus(),
            "Cards",
            job.taskResources().gpus(),
            "MemGb",
            job.taskResources().memoryGb(),
            "Bundle",
            job.image(),
            "ImageGb",
            job.imageGb(),
            "GuessS",
            job.estimate().seconds(),
            "MarkEveryS",
            job.checkpointInterval().seconds(),
            "MarkCostS",
            job.checkpointCost().seconds());
    putOptionalFields(job, out);
    return out;
  }

  private static void putOptionalFields(Job job, Map<String, Object> out) {
    if (job.machineTypes() != null) {
      out.put("Hulls", job.machineTypes());
    }
    if (job.zone() != null) {
      out.put("Yard", job.zone());
    }
    if (job.singleZone()) {
      out.put("OneZone", true);
    }
    if (job.spreadOverZones()) {
      out.put("Scatter", true);
    }
    if (job.allowsSpot()) {
      out.put("Loaners", true);
    }
    if (job.deadline() != null) {
      out.put("DueS", job.deadline().seconds());
    }
    if (!job.dependencies().isEmpty()) {
      out.put(DEPENDENCIES, job.dependencies().stream().sorted().map(JobId::text).toList());
    }
  }

  private static <T> String name(Map<String, T> words, T value) {
    for (Map.Entry<String, T> entry : words.entrySet()) {
      if (entry.getValue() == value) {
        return entry.getKey();
      }
    }
    throw new IllegalArgumentException(String.valueOf(value));
  }

  /** Writes the status of a job. */
  public static byte[] writeStatus(JobId id, JobPhase phase, int done, int running) {
    return writeStatus(id, phase, done, running, List.of());
  }

  /** Writes the status of a job with unfinished dependencies. */
  public static byte[] writeStatus(
      JobId id, JobPhase phase, int done, int running, Collection<JobId> waitsFor) {
    String word =
        switch (phase) {
          case OPEN -> running > 0 ? "running" : "queued";
          case DONE -> "done";
          case CANCELLED -> "cancelled";
        };
    Map<String, Object> out =
        Json.object("Uid", id.text(), "Status", word, "done", done, "running", running);
    if (!waitsFor.isEmpty()) {
      out.put(
          "waits_for", waitsFor.stream().limit(MAX_NAMED_DEPENDENCIES).map(JobId::text).toList());
      out.put("waits_for_jobs", waitsFor.size());
    }
    return Json.write(out);
  }

  /** Writes an error response. */
  public static byte[] writeError(String what) {
    return Json.write(Json.object("error", what));
  }
}
