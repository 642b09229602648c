package org.quincecross.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.dependency.UrgencyPropagation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The stored record of a job.
 *
 * @param job null once the job is done: only its phase is still needed
 * @param acceptedMs the time of day of the acceptance
 * @param cancelledMs the time of day of the cancellation, or 0
 * @param endedMs the time of day at which the last task of a done job completed, if other jobs
 *     depended on it, else 0
 * @param version while the job is open, also its position in the order of acceptance
 * @param dependencyParts the names of the records that contain the dependencies, if they are not
 *     inline
 * @param unknownFields fields of the record that this build does not know; they are kept when the
 *     record is rewritten
 * @param unknownJobFields the same for fields of the job's description
 */
public record JobRecord(
    JobId id,
    Job job,
    JobPhase phase,
    long acceptedMs,
    long cancelledMs,
    long endedMs,
    Revision version,
    List<String> dependencyParts,
    Map<String, Object> unknownFields,
    Map<String, Object> unknownJobFields) {
  /**
   * The field that holds the description of an open job with dependencies. A build without support
   * for dependencies finds no description in such a record, cannot read it, and therefore neither
   * leads nor owns shards nor starts anything too early (docs/design/pipelines.md).
   */
  private static final String DEPENDENT_JOB_FIELD = "dependent";

  /** Replaces names of a terminated job that would make its record too large. */
  private static final String SHORTENED_NAME = "-";

  private static final Set<String> KNOWN_FIELDS =
      Set.of(
          "phase",
          "at",
          "cancelled",
          "ended",
          "job",
          DEPENDENT_JOB_FIELD,
          JobDependencies.INLINE_FIELD,
          JobDependencies.PARTS_FIELD);

  static JobRecord read(JobId id, Object value, Revision version) throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a job record");
    JobPhase phase =
        in.enumValue(
            "phase",
            Map.of("open", JobPhase.OPEN, "done", JobPhase.DONE, "cancelled", JobPhase.CANCELLED));
    Job job = readJob(in);
    if (phase == JobPhase.OPEN && job == null) {
      throw new MalformedMessageException("an open job without its description");
    }
    return readFields(id, in, job, phase, version);
  }

  private static Job readJob(JsonFields in) throws MalformedMessageException {
    if (in.has("job")) {
      return JobCodec.readRecord(in.fields("job"));
    }
    return in.has(DEPENDENT_JOB_FIELD)
        ? JobCodec.readRecord(in.fields(DEPENDENT_JOB_FIELD))
            .withDependencies(JobDependencies.readInline(in))
        : null;
  }

  private static JobRecord readFields(
      JobId id, JsonFields in, Job job, JobPhase phase, Revision version)
      throws MalformedMessageException {
    return new JobRecord(
        id,
        job,
        phase,
        in.has("at") ? in.unsigned("at") : 0,
        in.has("cancelled") ? in.unsigned("cancelled") : 0,
        in.has("ended") ? in.unsigned("ended") : 0,
        version,
        in.has(JobDependencies.PARTS_FIELD)
            ? List.copyOf(in.strings(JobDependencies.PARTS_FIELD))
            : List.of(),
        in.unknownFields(KNOWN_FIELDS),
        job == null
            ? Map.of()
            : in.fields(in.has("job") ? "job" : DEPENDENT_JOB_FIELD)
                .unknownFields(JobCodec.FIELDS));
  }

  /** Writes several jobs that are accepted in one transaction. */
  public static Map<String, Object> writeBundle(List<Map<String, Object>> open) {
    return Json.object("jobs", open);
  }

  /** Reads the jobs of a bundle as they were when they were accepted. */
  static List<JobRecord> readBundle(Object value, Revision version)
      throws MalformedMessageException {
    List<JobRecord> records = new ArrayList<>();
    for (JsonFields in : JsonFields.of(value, "a bundle").objects("jobs")) {
      Job job = readJob(in);
      if (job == null) {
        throw new MalformedMessageException("a job in a bundle without its description");
      }
      in.unsigned("at");
      records.add(readFields(job.id(), in, job, JobPhase.OPEN, version));
    }
    return records;
  }

  /** Writes an accepted job. The {@link JobDependencies#parts} have to be durable first. */
  public static Map<String, Object> writeOpen(Job job, long acceptedMs) {
    if (job.dependencies().isEmpty()) {
      return Json.object("phase", "open", "at", acceptedMs, "job", JobCodec.writeRecord(job));
    }
    Map<String, Object> out =
        Json.object(
            "phase",
            "open",
            "at",
            acceptedMs,
            DEPENDENT_JOB_FIELD,
            JobCodec.writeRecord(job.withDependencies(Set.of())));
    out.putAll(JobDependencies.writeReferences(job.dependencies()));
    return out;
  }

  /** This open job with these dependencies. */
  JobRecord withDependencies(Set<JobId> jobs) {
    return new JobRecord(
        id,
        job.withDependencies(jobs),
        phase,
        acceptedMs,
        cancelledMs,
        endedMs,
        version,
        dependencyParts,
        unknownFields,
        unknownJobFields);
  }

  /** This open job with inherited urgency. */
  JobRecord withUrgency(UrgencyPropagation.Urgency urgency) {
    TimeSpan deadline =
        urgency.endByMs() == UrgencyPropagation.NO_DEADLINE
            ? null
            : TimeSpan.ofMillis(urgency.endByMs() - acceptedMs);
    return new JobRecord(
        id,
        job.withUrgency(urgency.priority(), deadline),
        phase,
        acceptedMs,
        cancelledMs,
        endedMs,
        version,
        dependencyParts,
        unknownFields,
        unknownJobFields);
  }

  /** This open job, cancelled because of a dependency. */
  JobRecord cancelledByDependency(Revision since, long atMs) {
    return new JobRecord(
        id,
        job,
        JobPhase.CANCELLED,
        acceptedMs,
        atMs,
        0,
        since,
        dependencyParts,
        unknownFields,
        unknownJobFields);
  }

  /** Writes a done job. Its description is omitted: all its tasks are off their machines. */
  public Map<String, Object> writeDone() {
    Map<String, Object> out = Json.object("phase", "done");
    out.putAll(unknownFields);
    return out;
  }

  /** Writes a done job that others depend on: they become runnable at this time. */
  public Map<String, Object> writeDone(long nowMs) {
    Map<String, Object> out = writeDone();
    out.put("ended", nowMs);
    return out;
  }

  /**
   * Writes a job that is cancelled as soon as it is accepted. Except for an open job with
   * dependencies, no record of the job is larger.
   */
  public static Map<String, Object> writeCancelled(Job job, long nowMs) {
    return new JobRecord(
            job.id(), job, JobPhase.OPEN, nowMs, 0, 0, Revision.NONE, List.of(), Map.of(), Map.of())
        .writeCancelled(nowMs);
  }

  /**
   * Writes a cancelled job in at most {@code mostBytes}, for jobs accepted when values could be
   * larger. Of the description only what its running tasks are accounted by is kept; placement
   * constraints and unknown fields are dropped.
   */
  public Map<String, Object> writeCancelled(long nowMs, int mostBytes) {
    Map<String, Object> all = writeCancelled(nowMs);
    if (Json.write(all).length <= mostBytes) {
      return all;
    }
    Job less =
        Job.builder(id)
            .jobClass(SHORTENED_NAME)
            .team(job.team())
            .kind(job.kind())
            .priority(job.priority())
            .taskCount(job.taskCount())
            .taskResources(job.taskResources())
            .zone(job.zone())
            .singleZone(job.singleZone())
            .spreadOverZones(job.spreadOverZones())
            .allowsSpot(job.allowsSpot())
            .image(SHORTENED_NAME)
            .imageGb(job.imageGb())
            .estimate(job.estimate())
            .checkpointInterval(job.checkpointInterval())
            .checkpointCost(job.checkpointCost())
            .deadline(job.deadline())
            .build();
    return new JobRecord(
            id,
            less,
            phase,
            acceptedMs,
            cancelledMs,
            endedMs,
            version,
            List.of(),
            Map.of(),
            Map.of())
        .writeCancelled(nowMs);
  }

  /**
   * Writes a cancelled job. Its tasks are accounted until they are gone, so the description is
   * kept.
   */
  public Map<String, Object> writeCancelled(long nowMs) {
    // Dependencies are irrelevant from now on and might not fit.
    Map<String, Object> description = JobCodec.writeRecord(job.withDependencies(Set.of()));
    description.putAll(unknownJobFields);
    Map<String, Object> out =
        Json.object("phase", "cancelled", "at", acceptedMs, "cancelled", nowMs, "job", description);
    out.putAll(unknownFields);
    return out;
  }
}
