package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.api.Controller;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.GateKind;
import org.quincecross.replicated.StartBlock;
import org.quincecross.rollout.Build;
import org.quincecross.state.ReplicatedRecordIndex;
import org.quincecross.state.TerminationProof;

/**
 * A cluster whose three controllers share replicated records, and checks of the tasks that these
 * records block, in virtual time.
 */
final class ReplicatedRecordCluster {
  static final Build NEW = Build.present("new", 3);
  static final Build OLD = Build.present("old", 2);

  /** By then the level has risen twice. */
  static final double READY_S = 40;

  private static final String JOBS =
      """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 4
            tasks = 3
            cpus = 2
            memory_gb = 4

            [[jobs]]
            name = "sweep"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 12
            every_s = 2
            tasks = 40
            cpus = 1
            memory_gb = 2
            run_s = 40
            """;

  /** A controller's view of the gates. */
  static final class Gates implements StartBlock {
    final ReplicatedFeatureContext base;
    final ReplicatedRecordIndex<GateKind.State, GateKind.Command> index;
    private final Set<JobId> closed = new HashSet<>();

    Gates(ReplicatedFeatureContext base) {
      this.base = base;
      this.index = base.cache().replicatedRecords().add(new GateKind());
      base.startBlock().add(this);
      base.cache()
          .addListener(
              changes -> {
                Set<JobId> changed = new HashSet<>();
                changes
                    .replicatedRecords()
                    .forEach(
                        record -> {
                          JobId job = JobId.parse(record.id());
                          if (job != null
                              && (index.state(record.id()).closed()
                                  ? closed.add(job)
                                  : closed.remove(job))) {
                            changed.add(job);
                          }
                        });
                base.startBlock().changed(changed);
              });
    }

    @Override
    public TaskSet blockedTasks(Job job) {
      return closed.contains(job.id()) ? TaskSet.range(job.taskCount()) : new TaskSet();
    }

    @Override
    public String reason(JobId job) {
      return closed.contains(job) ? "its gate is closed" : null;
    }

    /** Whether all tasks of a job with a closed gate are proven gone by this controller. */
    boolean isProven(JobId id, int tasks) {
      ReplicatedRecordIndex.Held<GateKind.State> held = index.get(id.text());
      return base.cache().isLoaded()
          && held != null
          && held.state().closed()
          && TerminationProof.of(base.cache(), Map.of(id, TaskSet.range(tasks)), held.version())
              .isProven();
    }
  }

  private final ClusterSpec spec = ClusterSpec.tryOut(30, true);
  final Gates[] gates = new Gates[3];
  final SimulatedCluster cluster;
  final Map<JobId, Job> jobs = new TreeMap<>();
  final List<String> findings = new ArrayList<>();

  /**
   * The change that closed a gate, and the revision of the records by which no task of the job
   * runs.
   */
  record ProvenGone(long change, Revision provenAt) {}

  final Map<JobId, ProvenGone> proven = new HashMap<>();

  /** Requests that were reported as durable, by name, with the change number that was reported. */
  final Map<String, Long> reportedChanges = new TreeMap<>();

  ReplicatedRecordCluster(long seed) throws MalformedMessageException {
    cluster =
        new SimulatedCluster(
            spec, seed, Meter.OFF, new Features(null, null, NEW, Map.of()), this::prepare);
    for (WorkloadFile.ScheduledJob due : WorkloadFile.read(JOBS, spec)) {
      cluster.time().at(READY_S - 25 + due.atS(), () -> cluster.users().submit(due.job()));
      jobs.put(due.job().id(), due.job());
    }
    watch();
  }

  private void prepare(int node, Controller controller) {
    gates[node] = new Gates(controller.replicatedFeatures());
  }

  /**
   * From when any controller has proven it until the gate opens, no task of the job runs or is
   * allocated, by the records of any controller.
   */
  private void watch() {
    cluster
        .time()
        .after(
            0.02,
            () -> {
              for (JobId id : jobs.keySet()) {
                Object record = cluster.state().value("q/agreed/gate/" + id.text());
                if (!(record instanceof Map<?, ?> map
                    && map.get("state") instanceof Map<?, ?> state
                    && Boolean.TRUE.equals(state.get("closed")))) {
                  proven.remove(id);
                  continue;
                }
                long change = ((Number) map.get("change")).longValue();
                proven.computeIfPresent(id, (job, by) -> by.change() == change ? by : null);
                for (Gates each : gates) {
                  ReplicatedRecordIndex.Held<GateKind.State> held = each.index.get(id.text());
                  if (held == null || held.record().change() != change) {
                    continue;
                  }
                  Revision revision = each.base.cache().revision();
                  if (each.isProven(id, jobs.get(id).taskCount())) {
                    proven.putIfAbsent(id, new ProvenGone(change, revision));
                  } else if (proven.containsKey(id)
                      && revision.isAfter(proven.get(id).provenAt())) {
                    findings.add(
                        "at "
                            + cluster.time().seconds()
                            + " allocated after it was proven gone: "
                            + id);
                  }
                }
                if (proven.containsKey(id) && cluster.invariants().onMachines(id) > 0) {
                  findings.add(
                      "at " + cluster.time().seconds() + " runs after it was proven gone: " + id);
                }
              }
              watch();
            });
  }

  static HttpRequest post(String id, String request, String what) {
    String body =
        "{\"request\": \""
            + request
            + "\", \"by\": \"tester\", \"command\": {\"do\": \""
            + what
            + "\"}}";
    return HttpRequest.post("/admin/agreed/gate/" + id, body.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Sends a request, under the same name, to one controller after the other until its outcome is
   * known.
   */
  void sendUntilKnown(int node, String id, String request, String what) {
    cluster
        .environment()
        .network()
        .call(
            new ProcessScope(),
            "operator",
            cluster.environment().node(node % 3),
            post(id, request, what),
            TimeSpan.ofSeconds(6),
            outcome -> {
              if (outcome.status() == 200) {
                reportedChanges.put(request, change(outcome.response().body()));
              } else if (outcome.status() == 0
                  || outcome.status() == 503
                  || outcome.status() == 429) {
                cluster.time().after(1, () -> sendUntilKnown(node + 1, id, request, what));
              } else {
                findings.add(
                    request
                        + " was answered "
                        + outcome.status()
                        + " "
                        + new String(outcome.response().body(), StandardCharsets.UTF_8));
              }
            });
  }

  private static long change(byte[] body) {
    try {
      return Json.parseFields(body).unsigned("change");
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * The answer of a controller; retries after 503, as the protocol describes, for up to ten
   * seconds.
   */
  JsonFields get(int node, String path) throws MalformedMessageException {
    HttpResponse[] last = new HttpResponse[1];
    for (int i = 0; i < 10 && (last[0] == null || last[0].status() == 503); i++) {
      last[0] = null;
      cluster.sendDirectly(
          node, HttpRequest.get("/admin/agreed" + path), response -> last[0] = response);
      cluster.time().runUntil(cluster.time().seconds() + 1);
    }
    assertEquals(200, last[0].status());
    return Json.parseFields(last[0].body());
  }

  void injectFault(int which) {
    switch (which) {
      case 0 -> cluster.state().outage(8);
      case 1 -> {
        for (int node = 0; node < 3; node++) {
          cluster.crash(node);
        }
      }
      case 2 -> cluster.crash(Math.max(0, cluster.leader()));
      case 3 -> cluster.suspend(Math.max(0, cluster.leader()), 9);
      case 4 -> cluster.isolate(Math.max(0, cluster.leader()), 20, true);
      default -> cluster.state().refuse(ClusterSpec.nodeName(Math.max(0, cluster.leader())), 20);
    }
  }

  void assertRulesKeptAndWorkDone(double untilS) {
    cluster.time().runUntil(untilS);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(List.of(), findings);
    jobs.forEach(
        (id, job) -> {
          if (job.kind() == JobKind.ARRAY) {
            assertEquals("done", cluster.users().reportedStates().get(id), id.text());
          } else {
            assertEquals(job.taskCount(), cluster.invariants().onMachines(id), id.text());
          }
        });
  }
}
