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
  private final Map<JobId, DependencyGraph.Own> records = new HashMap<>();
  private final Map<JobId, Set<JobId>> waitsOn = new HashMap<>();
  private final DependencyGraph pipelines = new DependencyGraph(records::get);
  private final Set<JobId> changed = new HashSet<>();
  private long revision;

  private static JobId job(int number) {
    return new JobId("job-" + number);
  }

  private void put(JobId id, JobPhase phase, Set<JobId> before) {
    records.put(
        id,
        new DependencyGraph.Own(
            phase, new Revision(++revision), phase == JobPhase.CANCELLED ? revision * 10 : 0));
    waitsOn.put(id, before);
    changed.clear();
    pipelines.put(id, phase == JobPhase.DONE ? Set.of() : before, true, changed::add);
    changed.add(id);
  }

  /** How a job stands. */
  private record Standing(
      boolean waits, DependencyGraph.Cancellation cancelled, Set<JobId> unfinished) {}

  private Standing stands(JobId id) {
    boolean isOpen = records.containsKey(id) && records.get(id).phase() == JobPhase.OPEN;
    return new Standing(
        isOpen && pipelines.waits(id),
        isOpen ? pipelines.cancelled(id) : null,
        isOpen ? new TreeSet<>(pipelines.unfinished(id)) : Set.of());
  }

  /** The same by the definition, from the records alone. */
  private Standing recount(JobId id) {
    if (!records.containsKey(id) || records.get(id).phase() != JobPhase.OPEN) {
      return new Standing(false, null, Set.of());
    }
    Set<JobId> unfinished = new TreeSet<>();
    for (JobId before : waitsOn.get(id)) {
      if (!records.containsKey(before) || records.get(before).phase() != JobPhase.DONE) {
        unfinished.add(before);
      }
    }
    return new Standing(!unfinished.isEmpty(), recountCancelled(id), unfinished);
  }

  private DependencyGraph.Cancellation recountCancelled(JobId id) {
    DependencyGraph.Own own = records.get(id);
    if (own == null || own.phase() == JobPhase.DONE) {
      return null;
    }
    if (own.phase() == JobPhase.CANCELLED) {
      return new DependencyGraph.Cancellation(own.version(), own.cancelledMs());
    }
    DependencyGraph.Cancellation first = null;
    for (JobId before : waitsOn.get(id)) {
      DependencyGraph.Cancellation its = recountCancelled(before);
      if (its != null && (first == null || first.since().isAfter(its.since()))) {
        first = its;
      }
    }
    return first == null || !own.version().isAfter(first.since())
        ? first
        : new DependencyGraph.Cancellation(own.version(), first.atMs());
  }

  /**
   * Records of any acyclic graph in any order, also a job before those that it waits on, the same
   * once more, and one that takes the place of another: what stands follows from them, and
   * whoever's standing changes is named.
   */
  @Property(tries = 1000, seed = "40")
  void standsByTheRecordsInAnyOrder(@ForAll long seed) {
    new DependencyGraphTest().standByRecords(new Random(seed));
  }

  private void standByRecords(Random random) {
    int jobs = 2 + random.nextInt(9);
    for (int step = 0; step < 40; step++) {
      Map<JobId, Standing> before = new HashMap<>();
      for (int number = 0; number < jobs; number++) {
        before.put(job(number), recount(job(number)));
      }
      int number = random.nextInt(jobs);
      DependencyGraph.Own own = records.get(job(number));
      if (own == null || (own.phase() == JobPhase.OPEN && random.nextInt(8) == 0)) {
        Set<JobId> after = new HashSet<>();
        for (int i = 0; i < number; i++) {
          if (random.nextInt(3) == 0) {
            after.add(job(i));
          }
        }
        put(job(number), JobPhase.OPEN, after);
      } else if (own.phase() == JobPhase.OPEN) {
        // Only what does not wait is ever done.
        boolean canEnd = recount(job(number)).unfinished().isEmpty();
        put(
            job(number),
            canEnd && random.nextInt(4) != 0 ? JobPhase.DONE : JobPhase.CANCELLED,
            waitsOn.get(job(number)));
      } else {
        put(job(number), own.phase(), waitsOn.get(job(number)));
      }
      for (int i = 0; i < jobs; i++) {
        Standing now = recount(job(i));
        assertEquals(now, stands(job(i)));
        Standing was = before.get(job(i));
        assertTrue(
            (now.waits() == was.waits() && Objects.equals(now.cancelled(), was.cancelled()))
                || changed.contains(job(i)),
            "not told of " + job(i));
      }
    }
  }

  /**
   * A chain of any length is cancelled at once from its head, and a done job at its head lets just
   * the next one run.
   */
  @Example
  void aChainOfAHundredThousand() {
    int length = 100_000;
    for (int i = length - 1; i > 0; i--) { // the last first, as a reading may bring them
      put(job(i), JobPhase.OPEN, Set.of(job(i - 1)));
    }
    put(job(0), JobPhase.OPEN, Set.of());
    put(job(0), JobPhase.DONE, Set.of());
    assertEquals(Set.of(job(0), job(1)), changed);
    put(job(1), JobPhase.CANCELLED, Set.of(job(0)));
    assertEquals(length - 1, changed.size());
    assertEquals(
        new DependencyGraph.Cancellation(new Revision(revision), revision * 10),
        pipelines.cancelled(job(length - 1)));
  }

  /**
   * Once all is over nothing is kept of what waited, and of a thousand that one waits on the last
   * lets it run.
   */
  @Example
  void whatIsOverTakesNoMemory() {
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
      assertTrue(pipelines.waits(job(5000)));
      put(id, JobPhase.DONE, Set.of());
    }
    assertEquals(Set.of(first.get(999), job(5000)), changed);
    put(job(5000), JobPhase.DONE, Set.of());
    assertEquals(1001, changed.size());
    assertEquals(0, pipelines.size());
  }
}
