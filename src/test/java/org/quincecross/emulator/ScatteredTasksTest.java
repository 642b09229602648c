package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Settings;

/**
 * A large array whose machines hang: the tasks that are left in each shard are scattered over the
 * array, and long to write. Three controllers, in virtual time.
 */
@Timeout(120)
class ScatteredTasksTest {
  private static final int MACHINES = 18;
  private static final int TASKS = 20_000;

  /** The longest text that builds before this one read in a record. */
  private static final int MAX_TEXT_LENGTH = 4096;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          ClusterSpec.tryOut(MACHINES, true).with(new Settings.StoreLimits(400, 120, 16_384, 24)),
          5,
          Meter.OFF);
  private final Job array =
      Job.builder(new JobId("job-412"))
          .jobClass("swarm")
          .team("batch")
          .kind(JobKind.ARRAY)
          .priority(Priority.NORMAL)
          .taskCount(TASKS)
          .taskResources(new Resources(0.0125, 0, 0.01))
          .image("i")
          .imageGb(0.1)
          .estimate(TimeSpan.ofSeconds(8))
          .build();
  private int longestText;

  private void recordTextLengths() {
    for (String key : cluster.state().keysWithPrefix("q/")) {
      if (key.startsWith("q/alloc/") || key.startsWith("q/change/")) {
        visitTexts(cluster.state().value(key));
      }
    }
    if (cluster.time().seconds() < 60) {
      cluster.time().after(0.2, this::recordTextLengths);
    }
  }

  private void visitTexts(Object value) {
    if (value instanceof Map<?, ?> fields) {
      fields.values().forEach(this::visitTexts);
    } else if (value instanceof String text) {
      longestText = Math.max(longestText, text.length());
    }
  }

  /** The status of an answer from each controller. */
  private List<Integer> answers(HttpRequest request) {
    List<Integer> statuses = new ArrayList<>();
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.sendDirectly(node, request, response -> statuses.add(response.status()));
    }
    return statuses;
  }

  /**
   * Guards against a leader that writes an allocation no controller can read, after which all of
   * them refuse everything for good (docs/incidents/unreadable-allocation.md).
   */
  @Test
  void controllersReadAllocationsOfScatteredTasks() {
    cluster.time().at(5, () -> cluster.users().submit(array));
    cluster.time().at(5, this::recordTextLengths);
    cluster
        .time()
        .at(
            11,
            () -> {
              for (int i = 0; i < cluster.cloud().workers().size(); i++) {
                if (i % 5 < 3) {
                  cluster.cloud().workers().get(i).suspend(8);
                }
              }
            });
    cluster.time().runUntil(30);
    assertEquals(List.of(200, 200, 200), answers(HttpRequest.get("/up")));
    cluster.time().runUntil(90);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals("done", cluster.users().reportedStates().get(array.id()));
    assertTrue(longestText <= MAX_TEXT_LENGTH, "the longest text has " + longestText);
  }
}
