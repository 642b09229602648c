package org.quincecross.dependency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;

class UrgencyPropagationTest {
  private final Map<JobId, DependencyGraph.Own> records = new HashMap<>();
  private final Map<JobId, UrgencyPropagation.Own> asked = new HashMap<>();
  private final Map<JobId, Set<JobId>> waitsOn = new HashMap<>();
  private final DependencyGraph pipelines = new DependencyGraph(records::get);
  private final UrgencyPropagation urgencies = new UrgencyPropagation(this::open, pipelines);

  private static JobId job(int number) {
    return new JobId("job-" + number);
  }

  private UrgencyPropagation.Own open(JobId id) {
    return records.containsKey(id)
            && records.get(id).phase() == JobPhase.OPEN
            && pipelines.cancelled(id) == null
        ? asked.get(id)
        : null;
  }

  /**
   * @return the jobs whose urgency has changed
   */
  private Set<JobId> put(JobId id, JobPhase phase, Set<JobId> before) {
    records.put(id, new DependencyGraph.Own(phase, new Revision(1), 0));
    Set<JobId> toLookAt = new HashSet<>(pipelines.unfinished(id));
    List<JobId> others = new ArrayList<>();
    pipelines.put(id, before, true, others::add);
    others.add(id);
    others.forEach(each -> toLookAt.addAll(pipelines.unfinished(each)));
    toLookAt.addAll(others);
    Set<JobId> changed = new HashSet<>();
    urgencies.look(toLookAt, changed::add);
    return changed;
  }

  private UrgencyPropagation.Urgency recount(JobId id) {
    Priority priority = asked.get(id).priority();
    long endBy = asked.get(id).endByMs();
    for (JobId other : asked.keySet()) {
      if (open(other) != null && waitsOn.get(other).contains(id)) {
        UrgencyPropagation.Urgency its = recount(other);
        Priority inherits = its.priority() == Priority.PRODUCTION ? Priority.HIGH : its.priority();
        priority = inherits.isHigherThan(priority) ? inherits : priority;
        endBy =
            its.endByMs() == UrgencyPropagation.NEVER
                ? endBy
                : Math.min(endBy, its.endByMs() - asked.get(other).runMs());
      }
    }
    return new UrgencyPropagation.Urgency(priority, endBy);
  }

  /**
   * Whatever is submitted, done or cancelled, each open job is as urgent as the jobs that need it
   * say, and whose urgency changes is named.
   */
  @Property(tries = 500, seed = "42")
  void asUrgentAsThoseThatNeedIt(@ForAll long seed) {
    new UrgencyPropagationTest().play(new Random(seed));
  }

  private void play(Random random) {
    int jobs = 2 + random.nextInt(8);
    Map<JobId, UrgencyPropagation.Urgency> before = new HashMap<>();
    for (int step = 0; step < 30; step++) {
      JobId id = job(random.nextInt(jobs));
      Set<JobId> changed;
      if (!records.containsKey(id)) {
        Set<JobId> after = new HashSet<>();
        for (int i = 0; job(i).compareTo(id) < 0; i++) {
          if (records.containsKey(job(i)) && random.nextInt(2) == 0) {
            after.add(job(i));
          }
        }
        waitsOn.put(id, after);
        asked.put(
            id,
            new UrgencyPropagation.Own(
                Priority.values()[random.nextInt(4)],
                random.nextBoolean() ? UrgencyPropagation.NEVER : 1000 + random.nextInt(1000),
                random.nextInt(300)));
        changed = put(id, JobPhase.OPEN, after);
        before.put(
            id, new UrgencyPropagation.Urgency(asked.get(id).priority(), asked.get(id).endByMs()));
      } else if (records.get(id).phase() == JobPhase.OPEN) {
        boolean ends = pipelines.unfinished(id).isEmpty() && random.nextInt(3) != 0;
        changed = put(id, ends ? JobPhase.DONE : JobPhase.CANCELLED, waitsOn.get(id));
      } else {
        continue;
      }
      for (JobId each : asked.keySet()) {
        if (open(each) != null) {
          UrgencyPropagation.Urgency now = recount(each);
          UrgencyPropagation.Urgency own =
              new UrgencyPropagation.Urgency(asked.get(each).priority(), asked.get(each).endByMs());
          assertEquals(now.equals(own) ? null : now, urgencies.inherited(each));
          assertTrue(now.equals(before.put(each, now)) || changed.contains(each));
        }
      }
    }
  }

  /**
   * The last of a long pipeline comes late, with all that is asked: each job before it has to end
   * earlier by what comes after it.
   */
  @Example
  void theLastOfALongPipeline() {
    int length = 20_000;
    for (int i = 0; i < length; i++) {
      waitsOn.put(job(i), i == 0 ? Set.of() : Set.of(job(i - 1)));
      asked.put(
          job(i),
          new UrgencyPropagation.Own(
              i == length - 1 ? Priority.HIGH : Priority.LOW,
              i == length - 1 ? 1_000_000 : UrgencyPropagation.NEVER,
              10));
      Set<JobId> changed = put(job(i), JobPhase.OPEN, waitsOn.get(job(i)));
      assertEquals(i == length - 1 ? length - 1 : 0, changed.size());
    }
    assertEquals(
        new UrgencyPropagation.Urgency(Priority.HIGH, 1_000_000 - 10L * (length - 1)),
        urgencies.inherited(job(0)));
  }
}
