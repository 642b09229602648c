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
  private final Map<JobId, DependencyGraph.JobState> records = new HashMap<>();
  private final Map<JobId, UrgencyPropagation.RequestedUrgency> requested = new HashMap<>();
  private final Map<JobId, Set<JobId>> waitsOn = new HashMap<>();
  private final DependencyGraph graph = new DependencyGraph(records::get);
  private final UrgencyPropagation urgencies = new UrgencyPropagation(this::open, graph);

  private static JobId job(int number) {
    return new JobId("job-" + number);
  }

  private UrgencyPropagation.RequestedUrgency open(JobId id) {
    return records.containsKey(id)
            && records.get(id).phase() == JobPhase.OPEN
            && graph.cancelled(id) == null
        ? requested.get(id)
        : null;
  }

  /**
   * @return the jobs whose urgency has changed
   */
  private Set<JobId> put(JobId id, JobPhase phase, Set<JobId> before) {
    records.put(id, new DependencyGraph.JobState(phase, new Revision(1), 0));
    Set<JobId> toUpdate = new HashSet<>(graph.unfinishedDependencies(id));
    List<JobId> others = new ArrayList<>();
    graph.put(id, before, true, others::add);
    others.add(id);
    others.forEach(each -> toUpdate.addAll(graph.unfinishedDependencies(each)));
    toUpdate.addAll(others);
    Set<JobId> changed = new HashSet<>();
    urgencies.update(toUpdate, changed::add);
    return changed;
  }

  private UrgencyPropagation.Urgency recount(JobId id) {
    Priority priority = requested.get(id).priority();
    long endBy = requested.get(id).endByMs();
    for (JobId other : requested.keySet()) {
      if (open(other) != null && waitsOn.get(other).contains(id)) {
        UrgencyPropagation.Urgency its = recount(other);
        Priority inherits = its.priority() == Priority.PRODUCTION ? Priority.HIGH : its.priority();
        priority = inherits.isHigherThan(priority) ? inherits : priority;
        endBy =
            its.endByMs() == UrgencyPropagation.NO_DEADLINE
                ? endBy
                : Math.min(endBy, its.endByMs() - requested.get(other).runMs());
      }
    }
    return new UrgencyPropagation.Urgency(priority, endBy);
  }

  /**
   * Whatever is submitted, done or cancelled, each open job has the urgency that its dependents
   * require, and every job whose urgency changes is reported.
   */
  @Property(tries = 500, seed = "42")
  void inheritsUrgencyOfDependents(@ForAll long seed) {
    new UrgencyPropagationTest().checkRandomJobs(new Random(seed));
  }

  private void checkRandomJobs(Random random) {
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
        requested.put(
            id,
            new UrgencyPropagation.RequestedUrgency(
                Priority.values()[random.nextInt(4)],
                random.nextBoolean() ? UrgencyPropagation.NO_DEADLINE : 1000 + random.nextInt(1000),
                random.nextInt(300)));
        changed = put(id, JobPhase.OPEN, after);
        before.put(
            id,
            new UrgencyPropagation.Urgency(
                requested.get(id).priority(), requested.get(id).endByMs()));
      } else if (records.get(id).phase() == JobPhase.OPEN) {
        boolean ends = graph.unfinishedDependencies(id).isEmpty() && random.nextInt(3) != 0;
        changed = put(id, ends ? JobPhase.DONE : JobPhase.CANCELLED, waitsOn.get(id));
      } else {
        continue;
      }
      for (JobId each : requested.keySet()) {
        if (open(each) != null) {
          UrgencyPropagation.Urgency now = recount(each);
          UrgencyPropagation.Urgency own =
              new UrgencyPropagation.Urgency(
                  requested.get(each).priority(), requested.get(each).endByMs());
          assertEquals(now.equals(own) ? null : now, urgencies.inherited(each));
          assertTrue(now.equals(before.put(each, now)) || changed.contains(each));
        }
      }
    }
  }

  /**
   * The last job of a long pipeline arrives late with a deadline: each job before it has to end
   * earlier by the run times after it.
   */
  @Example
  void propagatesAlongLongPipeline() {
    int length = 20_000;
    for (int i = 0; i < length; i++) {
      waitsOn.put(job(i), i == 0 ? Set.of() : Set.of(job(i - 1)));
      requested.put(
          job(i),
          new UrgencyPropagation.RequestedUrgency(
              i == length - 1 ? Priority.HIGH : Priority.LOW,
              i == length - 1 ? 1_000_000 : UrgencyPropagation.NO_DEADLINE,
              10));
      Set<JobId> changed = put(job(i), JobPhase.OPEN, waitsOn.get(job(i)));
      assertEquals(i == length - 1 ? length - 1 : 0, changed.size());
    }
    assertEquals(
        new UrgencyPropagation.Urgency(Priority.HIGH, 1_000_000 - 10L * (length - 1)),
        urgencies.inherited(job(0)));
  }
}
