package org.quincecross.state;

import java.util.Map;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Revision;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Fields;
import org.quincecross.wire.JobCodec;
import org.quincecross.wire.Json;

/**
 * A job as the state service has it.
 *
 * @param job null once the job is done: only its end is still asked for
 * @param acceptedMs the time of day at which it was accepted
 * @param version while the job is open, also its place among the accepted jobs
 */
public record JobRecord(JobId id, Job job, JobPhase phase, long acceptedMs, Revision version) {

    static JobRecord read(JobId id, Object value, Revision version) throws BadMessage {
        Fields in = Fields.of(value, "a job record");
        JobPhase phase = in.word("phase", Map.of("open", JobPhase.OPEN, "done", JobPhase.DONE, "cancelled", JobPhase.CANCELLED));
        Job job = in.has("job") ? JobCodec.read(in.fields("job")) : null;
        if (phase == JobPhase.OPEN && job == null) {
            throw new BadMessage("an open job without its description");
        }
        return new JobRecord(id, job, phase, in.has("at") ? in.unsigned("at") : 0, version);
    }

    public static Map<String, Object> open(Job job, long acceptedMs) {
        return Json.object("phase", "open", "at", acceptedMs, "job", JobCodec.write(job));
    }

    /** Nobody needs the description of a done job: its tasks are off their machines. */
    public static Map<String, Object> done() {
        return Json.object("phase", "done");
    }

    /** A cancelled job's tasks count until they are gone, so its description stays. */
    public Map<String, Object> cancelled() {
        return Json.object("phase", "cancelled", "at", acceptedMs, "job", JobCodec.write(job));
    }
}
