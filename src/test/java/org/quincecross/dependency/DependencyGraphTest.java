package org.quincecross.dependency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Revision;

class DependencyGraphTest {
  private final Map<JobId, DependencyGraph.JobState> records = new HashMap<>();
  private final Map<JobId, Set<JobId>> waitsOn = new HashMap<>();
  private final DependencyGraph graph = new DependencyGraph(records::get);
  private final Set<JobId> changed = new HashSet<>();
  private long revision;

  private static JobId job(int number) {
    return new JobId("job-" + number);
  }

  private void put(JobId id, JobPhase phase, Set<JobId> dependency) {
    records.put(
        id,
        new DependencyGraph.JobState(
            phase, new Revision(++revision), phase == JobPhase.CANCELLED ? revision * 10 : 0));
    waitsOn.put(id, dependency);
    changed.clear();
    graph.put(id, phase == JobPhase.DONE ? Set.of() : dependency, true, changed::add);
    changed.add(id);
  }

  /** The status of a job as the graph derives it. */
  private record JobStatus(
      boolean waits, DependencyGraph.Cancellation cancelled, Set<JobId> unfinished) {}

  private JobStatus status(JobId id) {
    boolean isOpen = records.containsKey(id) && records.get(id).phase() == JobPhase.OPEN;
    return new JobStatus(
        isOpen && graph.isWaiting(id),
        isOpen ? graph.cancelled(id) : null,
        isOpen ? new TreeSet<>(graph.unfinishedDependencies(id)) : Set.of());
  }

  /** The same by definition, from the records alone. */
  private JobStatus recount(JobId id) {
    if (!records.containsKey(id) || records.get(id).phase() != JobPhase.OPEN) {
      return new JobStatus(false, null, Set.of());
    }
    Set<JobId> unfinished = new TreeSet<>();
    for (JobId dependency : waitsOn.get(id)) {
      if (!records.containsKey(dependency) || records.get(dependency).phase() != JobPhase.DONE) {
        unfinished.add(dependency);
      }
    }
    return new JobStatus(!unfinished.isEmpty(), recountCancelled(id), unfinished);
  }

  private DependencyGraph.Cancellation recountCancelled(JobId id) {
    DependencyGraph.JobState own = records.get(id);
    if (own == null || own.phase() == JobPhase.DONE) {
      return null;
    }
    if (own.phase() == JobPhase.CANCELLED) {
      return new DependencyGraph.Cancellation(own.version(), own.cancelledMs());
    }
    DependencyGraph.Cancellation first = null;
    for (JobId dependency : waitsOn.get(id)) {
      DependencyGraph.Cancellation its = recountCancelled(dependency);
      if (its != null && (first == null || first.since().isAfter(its.since()))) {
        first = its;
      }
    }
    return first == null || !own.version().isAfter(first.since())
        ? first
        : new DependencyGraph.Cancellation(own.version(), first.atMs());
  }

  /**
   * Records of any acyclic graph arrive in any order: a job before its dependencies, a record
   * twice, a record replacing another. The derived status always follows from the records, and
   * every job whose status changes is reported.
   */
  @Property(tries = 1000, seed = "40")
  void statusFollowsFromRecordsInAnyOrder(@ForAll long seed) {
    new DependencyGraphTest().checkRandomRecords(new Random(seed));
  }

  private void checkRandomRecords(Random random) {
    int jobs = 2 + random.nextInt(9);
    for (int step = 0; step < 40; step++) {
      Map<JobId, JobStatus> statusesBefore = new HashMap<>();
      for (int number = 0; number < jobs; number++) {
        statusesBefore.put(job(number), recount(job(number)));
      }
      int number = random.nextInt(jobs);
      DependencyGraph.JobState own = records.get(job(number));
      if (own == null || (own.phase() == JobPhase.OPEN && random.nextInt(8) == 0)) {
        Set<JobId> after = new HashSet<>();
        for (int i = 0; i < number; i++) {
          if (random.nextInt(3) == 0) {
            after.add(job(i));
          }
        }
        put(job(number), JobPhase.OPEN, after);
      } else if (own.phase() == JobPhase.OPEN) {
        // Only jobs that do not wait can be done.
        boolean canEnd = recount(job(number)).unfinished().isEmpty();
        put(
            job(number),
            canEnd && random.nextInt(4) != 0 ? JobPhase.DONE : JobPhase.CANCELLED,
            waitsOn.get(job(number)));
      } else {
        put(job(number), own.phase(), waitsOn.get(job(number)));
      }
      for (int i = 0; i < jobs; i++) {
        JobStatus now = recount(job(i));
        assertEquals(now, status(job(i)));
        JobStatus was = statusesBefore.get(job(i));
        assertTrue(
            (now.waits() == was.waits() && Objects.equals(now.cancelled(), was.cancelled()))
                || changed.contains(job(i)),
            "not told of " + job(i));
      }
    }
  }

  /**
   * Cancelling the head of a long chain cancels all of it, and a done head releases only the next
   * job.
   */
  @Example
  void propagatesAlongChainOfHundredThousandJobs() {
    int length = 100_000;
    for (int i = length - 1; i > 0; i--) { // in reverse order, as an initial read may deliver them
      put(job(i), JobPhase.OPEN, Set.of(job(i - 1)));
    }
    put(job(0), JobPhase.OPEN, Set.of());
    put(job(0), JobPhase.DONE, Set.of());
    assertEquals(Set.of(job(0), job(1)), changed);
    put(job(1), JobPhase.CANCELLED, Set.of(job(0)));
    assertEquals(length - 1, changed.size());
    assertEquals(
        new DependencyGraph.Cancellation(new Revision(revision), revision * 10),
        graph.cancelled(job(length - 1)));
  }

  /**
   * Once all jobs have ended nothing is held in memory; of a thousand dependencies only the last
   * one done releases the job.
   */
  @Example
  void endedJobsTakeNoMemory() {
    List<JobId> first = new ArrayList<>();
    for (int i = 0; i < 1000; i++) {
      first.add(job(i));
      put(job(i), JobPhase.OPEN, Set.of());
    }
    put(job(5000), JobPhase.OPEN, Set.copyOf(first));
    for (int i = 0; i < 1000; i++) {
      put(job(6000 + i), JobPhase.OPEN, Set.of(job(5000)));
    }
    for (JobId id : first) {
      assertTrue(graph.isWaiting(job(5000)));
      put(id, JobPhase.DONE, Set.of());
    }
    assertEquals(Set.of(first.get(999), job(5000)), changed);
    put(job(5000), JobPhase.DONE, Set.of());
    assertEquals(1001, changed.size());
    assertEquals(0, graph.size());
  }
}
