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
 * A job as the state service has it.
 *
 * @param job null once the job is done: only its end is still asked for
 * @param acceptedMs the time of day at which it was accepted; {@code cancelledMs}: at which it was
 *     cancelled, or 0
 * @param version while the job is open, also its place among the accepted jobs
 * @param endedMs the time of day at which the last task of a done job was, where others waited for
 *     it, else 0
 * @param parts the names of the records that have what the job waits on, where its own does not
 *     have it
 * @param others fields of the record that this build does not know, {@code jobOthers} those of the
 *     job's description: a record that is written anew has them as they were read
 */
public record JobRecord(
    JobId id,
    Job job,
    JobPhase phase,
    long acceptedMs,
    long cancelledMs,
    long endedMs,
    Revision version,
    List<String> parts,
    Map<String, Object> others,
    Map<String, Object> jobOthers) {
  /**
   * Where the description of an open job is that waits on others. A build that knows no pipelines
   * finds an open job without a description here, so it cannot read the record, neither leads nor
   * holds, and starts nothing too early (docs/design/pipelines.md).
   */
  private static final String DEPENDENT = "dependent";

  /** In place of a name that is too long for a value, of a job that is over. */
  private static final String SHORTENED = "-";

  private static final Set<String> KNOWN =
      Set.of(
          "phase",
          "at",
          "cancelled",
          "ended",
          "job",
          DEPENDENT,
          JobDependencies.IN_RECORD,
          JobDependencies.IN_PARTS);

  static JobRecord read(JobId id, Object value, Revision version) throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a job record");
    JobPhase phase =
        in.enumValue(
            "phase",
            Map.of("open", JobPhase.OPEN, "done", JobPhase.DONE, "cancelled", JobPhase.CANCELLED));
    Job job = job(in);
    if (phase == JobPhase.OPEN && job == null) {
      throw new MalformedMessageException("an open job without its description");
    }
    return record(id, in, job, phase, version);
  }

  private static Job job(JsonFields in) throws MalformedMessageException {
    if (in.has("job")) {
      return JobCodec.readRecord(in.fields("job"));
    }
    return in.has(DEPENDENT)
        ? JobCodec.readRecord(in.fields(DEPENDENT))
            .withDependencies(JobDependencies.readInRecord(in))
        : null;
  }

  private static JobRecord record(
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
        in.has(JobDependencies.IN_PARTS)
            ? List.copyOf(in.strings(JobDependencies.IN_PARTS))
            : List.of(),
        in.unknownFields(KNOWN),
        job == null
            ? Map.of()
            : in.fields(in.has("job") ? "job" : DEPENDENT).unknownFields(JobCodec.FIELDS));
  }

  /** Several jobs accepted in one change. */
  public static Map<String, Object> bundle(List<Map<String, Object>> open) {
    return Json.object("jobs", open);
  }

  /** The jobs of a bundle, as they were when they were accepted. */
  static List<JobRecord> readBundle(Object value, Revision version)
      throws MalformedMessageException {
    List<JobRecord> records = new ArrayList<>();
    for (JsonFields in : JsonFields.of(value, "a bundle").objects("jobs")) {
      Job job = job(in);
      if (job == null) {
        throw new MalformedMessageException("a job in a bundle without its description");
      }
      in.unsigned("at");
      records.add(record(job.id(), in, job, JobPhase.OPEN, version));
    }
    return records;
  }

  /**
   * An accepted job. Of one that waits on many others, {@link JobDependencies#parts} have to be
   * durable before.
   */
  public static Map<String, Object> open(Job job, long acceptedMs) {
    if (job.dependencies().isEmpty()) {
      return Json.object("phase", "open", "at", acceptedMs, "job", JobCodec.writeRecord(job));
    }
    Map<String, Object> out =
        Json.object(
            "phase",
            "open",
            "at",
            acceptedMs,
            DEPENDENT,
            JobCodec.writeRecord(job.withDependencies(Set.of())));
    out.putAll(JobDependencies.inRecord(job.dependencies()));
    return out;
  }

  /** This open job, known to wait on these. */
  JobRecord waitingOn(Set<JobId> jobs) {
    return new JobRecord(
        id,
        job.withDependencies(jobs),
        phase,
        acceptedMs,
        cancelledMs,
        endedMs,
        version,
        parts,
        others,
        jobOthers);
  }

  /** This open job, as urgent as those that need it. */
  JobRecord treatedAs(UrgencyPropagation.Urgency urgency) {
    TimeSpan deadline =
        urgency.endByMs() == UrgencyPropagation.NEVER
            ? null
            : TimeSpan.ofMillis(urgency.endByMs() - acceptedMs);
    return new JobRecord(
        id,
        job.withUrgency(urgency.rank(), deadline),
        phase,
        acceptedMs,
        cancelledMs,
        endedMs,
        version,
        parts,
        others,
        jobOthers);
  }

  /** This open job, cancelled because one that it waits on is. */
  JobRecord cancelledWith(Revision since, long atMs) {
    return new JobRecord(
        id, job, JobPhase.CANCELLED, acceptedMs, atMs, 0, since, parts, others, jobOthers);
  }

  /** Nobody needs the description of a done job: its tasks are off their machines. */
  public Map<String, Object> done() {
    Map<String, Object> out = Json.object("phase", "done");
    out.putAll(others);
    return out;
  }

  /** The same where others wait for it: from then on they can run, and their times count. */
  public Map<String, Object> done(long nowMs) {
    Map<String, Object> out = done();
    out.put("ended", nowMs);
    return out;
  }

  /**
   * The record of a job that is cancelled as soon as it is accepted: but for an open one that waits
   * on others none of it is larger.
   */
  public static Map<String, Object> cancelled(Job job, long nowMs) {
    return new JobRecord(
            job.id(), job, JobPhase.OPEN, nowMs, 0, 0, Revision.NONE, List.of(), Map.of(), Map.of())
        .cancelled(nowMs);
  }

  /**
   * The same in so many bytes, where values could be larger when the job was accepted: of its
   * description what its tasks count by until they are gone. What it was to run on, and what this
   * build does not know of it, no cancelled job needs.
   */
  public Map<String, Object> cancelled(long nowMs, int mostBytes) {
    Map<String, Object> all = cancelled(nowMs);
    if (Json.write(all).length <= mostBytes) {
      return all;
    }
    Job less =
        new Job(
            id,
            SHORTENED,
            job.team(),
            job.kind(),
            job.priority(),
            job.taskCount(),
            job.taskResources(),
            null,
            job.zone(),
            job.singleZone(),
            job.spreadOverZones(),
            job.allowsSpot(),
            SHORTENED,
            job.imageGb(),
            job.estimate(),
            job.checkpointInterval(),
            job.checkpointCost(),
            job.deadline(),
            Set.of());
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
        .cancelled(nowMs);
  }

  /** A cancelled job's tasks count until they are gone, so its description stays. */
  public Map<String, Object> cancelled(long nowMs) {
    // What it waited on is of no use any more, and might not fit.
    Map<String, Object> description = JobCodec.writeRecord(job.withDependencies(Set.of()));
    description.putAll(jobOthers);
    Map<String, Object> out =
        Json.object("phase", "cancelled", "at", acceptedMs, "cancelled", nowMs, "job", description);
    out.putAll(others);
    return out;
  }
}
