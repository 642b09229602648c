package org.quincecross.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Fields;
import org.quincecross.wire.JobCodec;
import org.quincecross.wire.Json;

/** The tasks that a block has: it alone may start them. */
public record Allocation(Map<JobId, TaskSet> tasks, Revision version) {
    public static final Allocation EMPTY = new Allocation(Map.of(), Revision.NONE);

    static Allocation read(Object value, Revision version) throws BadMessage {
        Map<JobId, TaskSet> tasks = new LinkedHashMap<>();
        for (Object item : Fields.of(value, "an allocation").list("tasks")) {
            JobId job = null;
            TaskSet set = null;
            if (item instanceof List<?> pair && pair.size() == 2 && pair.get(0) instanceof String id
                    && pair.get(1) instanceof String ranges) {
                job = JobId.parse(id);
                set = TaskSet.parse(ranges, JobCodec.MOST_TASKS);
            }
            if (job == null || set == null) {
                throw new BadMessage("bad item in an allocation");
            }
            tasks.put(job, set);
        }
        return new Allocation(tasks, version);
    }

    public static Map<String, Object> write(Map<JobId, TaskSet> tasks) {
        List<Object> list = new ArrayList<>();
        tasks.forEach((job, set) -> {
            if (!set.isEmpty()) {
                list.add(List.of(job.text(), set.toString()));
            }
        });
        return Json.object("tasks", list);
    }

    public boolean has(JobId job, int index) {
        TaskSet set = tasks.get(job);
        return set != null && set.has(index);
    }
}
