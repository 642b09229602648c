package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.http.HttpRequest;
import org.quincecross.legalhold.RecordSelector;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.Build;
import org.quincecross.rollout.Feature;

/**
 * Three controllers with legal holds enabled, sweeps, and an independent checker: it reads the
 * records from the state service and the running tasks from the simulated machines, without using
 * the controllers' view.
 */
final class LegalHoldCluster {
  final SimulatedCluster cluster;
  private final List<JobId> sweeps = new ArrayList<>();
  private final List<JobId> services = new ArrayList<>();
  private final Map<JobId, Map<TaskSet, RecordSelector>> claimedRecords = new HashMap<>();
  private final Map<String, Double> openedAt = new HashMap<>();
  private final Map<String, Double> pinnedAt = new TreeMap<>();
  private final Map<TaskId, Double> startedAt = new HashMap<>();
  private final Set<TaskId> runningTasks = new HashSet<>();
  private final List<String> findings = new ArrayList<>();
  final Map<String, String> answers = new HashMap<>();

  LegalHoldCluster(String jobs, int machines, long seed) throws MalformedMessageException {
    ClusterSpec spec = ClusterSpec.tryOut(machines, true);
    Build build = Build.present("holds", Feature.AGREED_RECORDS.since().number());
    cluster =
        new SimulatedCluster(
            spec, seed, Meter.OFF, new Features(null, null, build, Map.of("holds", Map.of())));
    for (WorkloadFile.ScheduledJob due : WorkloadFile.read(jobs, spec)) {
      cluster.time().at(4 + due.atS(), () -> cluster.users().submit(due.job()));
      (due.job().jobClass().equals("front") ? services : sweeps).add(due.job().id());
    }
    watch();
  }

  List<JobId> sweeps() {
    return sweeps;
  }

  void at(double seconds, Runnable what) {
    cluster.time().at(seconds, what);
  }

  void run(double untilS) {
    cluster.time().runUntil(untilS);
    assertEquals(List.of(), findings);
    assertEquals(List.of(), cluster.invariants().violations());
  }

  // ---- operators ----

  /**
   * Sends a request to a controller, and then to the next, until it is applied or finally refused.
   */
  void sendUntilDecided(int node, String kind, String id, String request, Object command) {
    boolean[] answered = {false};
    Runnable again =
        () -> sendUntilDecided((node + 1) % cluster.nodeCount(), kind, id, request, command);
    if (cluster.status(node) == null) {
      cluster.time().after(1, again);
      return;
    }
    byte[] body = Json.write(Json.object("request", request, "by", "clerk", "command", command));
    cluster.sendDirectly(
        node,
        HttpRequest.post("/admin/agreed/" + kind + "/" + id, body),
        response -> {
          String text = new String(response.body(), StandardCharsets.UTF_8);
          answered[0] = true;
          if (response.status() >= 500
              || response.status() == 429
              || (response.status() == 409 && text.contains("is not in force yet"))) {
            cluster.time().after(1, again);
          } else {
            answers.put(request, response.status() + " " + text);
          }
        });
    cluster
        .time()
        .after(
            6,
            () -> {
              if (!answered[0]) {
                again.run(); // the controller went down before it could answer
              }
            });
  }

  void open(int node, String reference, String request, String... records) {
    openedAt.putIfAbsent(reference, cluster.time().seconds());
    sendUntilDecided(
        node, "holds", reference, request, Json.object("do", "open", "records", List.of(records)));
  }

  /**
   * @param fromS in seconds since the start of the cluster
   */
  void openFrom(int node, String reference, String request, double fromS, String... records) {
    openedAt.putIfAbsent(reference, cluster.time().seconds());
    sendUntilDecided(
        node,
        "holds",
        reference,
        request,
        Json.object(
            "do",
            "open",
            "records",
            List.of(records),
            "from_ms",
            (long) ((SimulatedCluster.EPOCH_S + fromS) * 1000)));
  }

  void close(int node, String reference, String request, int opening) {
    sendUntilDecided(
        node, "holds", reference, request, Json.object("do", "close", "opening", opening));
  }

  /**
   * Declares from the start that a lane runs sweeps, and that all of its jobs have these claims:
   * tasks and records in turn.
   */
  void declareSweepsWithClaims(String lane, String series, String... claims) {
    at(
        1,
        () ->
            sendUntilDecided(
                0, "sweeps", lane, "sweep-" + lane, Json.object("series", List.of(series))));
    for (JobId job : sweeps) {
      List<Object> all = new ArrayList<>();
      Map<TaskSet, RecordSelector> touched = new HashMap<>();
      for (int i = 0; i < claims.length; i += 2) {
        all.add(Json.object("tasks", claims[i], "records", List.of(claims[i + 1])));
        touched.put(TaskSet.parse(claims[i], 100_000), RecordSelector.parse(claims[i + 1]));
      }
      claimedRecords.put(job, touched);
      if (!all.isEmpty()) {
        at(
            1.5,
            () ->
                sendUntilDecided(
                    1, "claims", job.text(), "claim-" + job, Json.object("claims", all)));
      }
    }
  }

  // ---- faults ----

  /** Replaces the controllers one after the other by another build of the same level. */
  void replaceAll() {
    for (int node = 0; node < cluster.nodeCount(); node++) {
      int each = node;
      cluster
          .time()
          .after(
              5 * node,
              () ->
                  cluster.upgrade(
                      each, Build.present("other", Feature.AGREED_RECORDS.since().number())));
    }
  }

  /** A controller reaches its workers, but neither the state service nor the other controllers. */
  void isolate(int node, double seconds) {
    cluster.state().refuse(ClusterSpec.nodeName(node), seconds);
    for (int other = 0; other < cluster.nodeCount(); other++) {
      if (other != node) {
        cluster.cut(ClusterSpec.nodeName(node), ClusterSpec.nodeName(other), seconds, true);
      }
    }
  }

  /**
   * A zone is cut off from all others and from the state service; its controller and machines reach
   * one another.
   */
  void cutZone(int zone, double seconds) {
    isolate(zone, seconds);
    cluster
        .environment()
        .cloud()
        .workers()
        .forEach(
            worker -> {
              boolean inside = worker.machine().zone().equals(cluster.spec().zones().get(zone));
              for (int node = 0; node < cluster.nodeCount(); node++) {
                if ((node == zone) != inside) {
                  cluster.cut(
                      worker.machine().id().text(), ClusterSpec.nodeName(node), seconds, false);
                }
              }
            });
  }

  /** Some machines with sweeps still send, but receive nothing. */
  void dropInbound(int machines, double seconds) {
    cluster.environment().cloud().workers().stream()
        .limit(machines)
        .forEach(
            worker -> {
              for (int node = 0; node < cluster.nodeCount(); node++) {
                cluster.cut(
                    ClusterSpec.nodeName(node), worker.machine().id().text(), seconds, true);
              }
            });
  }

  // ---- the checker ----

  /** The tasks that started after a time and access some records. */
  List<String> startedAfter(double seconds, String records) {
    RecordSelector held = RecordSelector.parse(records);
    List<String> late = new ArrayList<>();
    startedAt.forEach(
        (task, at) -> {
          boolean touched =
              claimedRecords.getOrDefault(task.job(), Map.of()).entrySet().stream()
                  .anyMatch(
                      claim ->
                          claim.getKey().contains(task.index()) && claim.getValue().overlaps(held));
          if (touched && at > seconds) {
            late.add(task + " at " + at);
          }
        });
    return late;
  }

  int pinnedCount() {
    return pinnedAt.size();
  }

  /** How often more accessing tasks were found than were known when the hold was pinned. */
  int widened(String reference) {
    return ((Number) hold(reference).get("scope")).intValue();
  }

  int opening(String reference) {
    return ((Number) hold(reference).get("opening")).intValue();
  }

  private Map<?, ?> hold(String reference) {
    return cluster.state().value("q/agreed/holds/" + reference) instanceof Map<?, ?> record
        ? (Map<?, ?>) record.get("state")
        : Map.of();
  }

  String state(String reference) {
    return String.valueOf(hold(reference).get("state"));
  }

  /**
   * No task that accesses a pinned record runs: checked several times a second against the current
   * records.
   */
  private void watch() {
    cluster
        .time()
        .after(
            0.1,
            () -> {
              for (JobId job : sweeps) {
                for (int index = 0;
                    cluster.job(job) != null && index < cluster.job(job).taskCount();
                    index++) {
                  TaskId task = job.task(index);
                  if (!cluster.invariants().isOn(task)) {
                    runningTasks.remove(task);
                  } else if (runningTasks.add(task)) {
                    startedAt.put(task, cluster.time().seconds());
                  }
                }
              }
              Map<RecordSelector, String> pinned = new HashMap<>();
              for (String key : cluster.state().keysWithPrefix("q/agreed/holds/")) {
                String reference = key.substring("q/agreed/holds/".length());
                if (!reference.startsWith("~") && state(reference).equals("PINNED")) {
                  pinnedAt.putIfAbsent(
                      reference + "/" + hold(reference).get("opening"), cluster.time().seconds());
                  List<?> records = (List<?>) hold(reference).get("records");
                  records.forEach(
                      each -> pinned.putIfAbsent(RecordSelector.parse((String) each), reference));
                }
              }
              pinned.forEach((records, reference) -> check(reference, records));
              watch();
            });
  }

  private void check(String reference, RecordSelector held) {
    for (JobId job : sweeps) {
      Map<TaskSet, RecordSelector> claims = claimedRecords.get(job);
      for (int index = 0;
          claims != null
              && cluster.invariants().onMachines(job) > 0
              && index < cluster.job(job).taskCount();
          index++) {
        boolean touched = claims.isEmpty();
        for (Map.Entry<TaskSet, RecordSelector> claim : claims.entrySet()) {
          touched |= claim.getKey().contains(index) && claim.getValue().overlaps(held);
        }
        if (touched && cluster.invariants().isOn(job.task(index))) {
          findings.add(
              "at "
                  + cluster.time().seconds()
                  + " "
                  + job
                  + "/"
                  + index
                  + " runs under "
                  + reference);
        }
      }
    }
  }

  Double pinnedAfter(String reference, int opening) {
    Double at = pinnedAt.get(reference + "/" + opening);
    return at == null ? null : at - openedAt.get(reference);
  }

  void assertPinnedWithin(String reference, double seconds) {
    Double after = pinnedAfter(reference, 1);
    assertTrue(
        after != null && after <= seconds,
        reference + " is " + state(reference) + ", pinned after " + after);
  }

  void assertAllDone() {
    for (JobId id : sweeps) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
    assertEquals(
        12, services.stream().mapToInt(cluster.invariants()::onMachines).sum(), "replicas");
  }
}
