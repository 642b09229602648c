package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.Build;

/** Three controllers and some machines, with models among the services, in virtual time. */
final class ModelServingCluster {
  static final double DEFINED_S = 18;
  static final double IDLE_S = 20;

  /** How long it takes to fetch the weights of these models. */
  static final double FETCH_S = 8;

  final SimulatedCluster cluster;
  private int requests;
  private final List<JobId> jobs = new ArrayList<>();

  ModelServingCluster(ClusterSpec spec, long seed) {
    cluster =
        new SimulatedCluster(
            spec,
            seed,
            Meter.OFF,
            new Features(null, null, Build.present("agreed", 3), Map.of("models", Map.of())));
  }

  /**
   * A cluster of 24 machines with one model of four replicas; at least {@code least} of them are
   * started together.
   */
  static ModelServingCluster withOne(long seed, int least) throws MalformedMessageException {
    ModelServingCluster testCluster = new ModelServingCluster(ClusterSpec.tryOut(24, true), seed);
    // Late enough that no machine has its weights when it becomes a model.
    testCluster.submitAt(DEFINED_S - 0.5, job(100, 4, 6, FETCH_S, false));
    testCluster.cluster.time().runUntil(DEFINED_S);
    testCluster.define("m", 100, least, 4);
    testCluster.cluster.time().runUntil(DEFINED_S + 17);
    assertEquals("ZERO", testCluster.phase("m"));
    return testCluster;
  }

  static Job job(int number, int tasks, double cpus, double imageGb, boolean gang) {
    return Job.builder(new JobId("job-" + number))
        .jobClass("front")
        .team("web")
        .kind(gang ? JobKind.GANG : JobKind.SERVICE)
        .priority(Priority.PRODUCTION)
        .taskCount(tasks)
        .taskResources(new Resources(cpus, 0, 2))
        .singleZone(gang)
        .image("weights-" + number)
        .imageGb(imageGb)
        .estimate(gang ? TimeSpan.ofSeconds(100_000) : TimeSpan.ZERO)
        .build();
  }

  void submit(Job job) {
    submitAt(4, job);
  }

  void submitAt(double atS, Job job) {
    jobs.add(job.id());
    cluster.time().at(atS, () -> cluster.users().submit(job));
  }

  void define(String name, int job, int least, int most) throws MalformedMessageException {
    define(name, job, least, most, IDLE_S, 0);
  }

  void define(String name, int job, int least, int most, double idleS, int keepWarm)
      throws MalformedMessageException {
    cluster.environment().coldStarts().watch(name, new JobId("job-" + job));
    Map<String, Object> body =
        Json.object(
            "job",
            "job-" + job,
            "least",
            least,
            "most",
            most,
            "per_replica",
            10,
            "idle_s",
            idleS,
            "keep_warm",
            keepWarm,
            "request",
            "r" + ++requests);
    int status = post(0, name, body);
    for (int tries = 0; status != 200 && tries < 20; tries++) {
      cluster.time().runUntil(cluster.time().seconds() + 1);
      status = post(0, name, body);
    }
    assertEquals(200, status);
  }

  /** Defines a model of one replica; retries if the outcome is unknown. */
  void defineLater(int node, String name, int job) {
    cluster.environment().coldStarts().watch(name, new JobId("job-" + job));
    send(
        node,
        name,
        Json.object("job", "job-" + job, "idle_s", IDLE_S, "request", "r-" + name),
        response -> {
          if (response.status() != 200) {
            cluster.time().after(1, () -> defineLater(node, name, job));
          }
        });
  }

  /** Sends a change of a model to a controller and waits for the answer; returns its status. */
  int post(int node, String path, Map<String, Object> body) {
    int[] status = new int[1];
    send(node, path, body, response -> status[0] = response.status());
    double until = cluster.time().seconds() + 6;
    while (status[0] == 0 && cluster.time().seconds() < until) {
      cluster.time().runUntil(cluster.time().seconds() + 0.01);
    }
    return status[0];
  }

  void send(int node, String path, Map<String, Object> body, Consumer<HttpResponse> reply) {
    cluster.sendDirectly(
        node, new HttpRequest("POST", "/admin/models/" + path, Json.write(body), false), reply);
  }

  /**
   * Sends a wake request for a model at a time to one controller, and retries until it is answered.
   */
  void wakeAt(double atS, int node, String name) {
    cluster.time().at(atS, () -> wake(node, name, 20));
  }

  private void wake(int node, String name, int tries) {
    boolean[] heard = new boolean[1];
    send(
        node,
        name + "/wake",
        Map.of(),
        response -> heard[0] |= response.status() == 200 || response.status() == 202);
    cluster
        .time()
        .after(
            2,
            () -> {
              if (!heard[0] && tries > 0) {
                wake((node + 1) % cluster.nodeCount(), name, tries - 1);
              }
            });
  }

  private JsonFields get(int node, String path) throws MalformedMessageException {
    HttpResponse[] answer = new HttpResponse[1];
    cluster.sendDirectly(
        node, HttpRequest.get("/admin/models" + path), response -> answer[0] = response);
    assertEquals(200, answer[0].status(), new String(answer[0].body(), StandardCharsets.UTF_8));
    return Json.parseFields(answer[0].body());
  }

  JsonFields showModel(int node, String name) throws MalformedMessageException {
    return get(node, "/" + name);
  }

  /** The number of record changes that a controller has requested because a model was needed. */
  long requestedChanges(int node) throws MalformedMessageException {
    return get(node, "").unsigned("asked");
  }

  String phase(String name) {
    Map<?, ?> state = ColdStartInvariant.state(cluster.state(), name);
    return state == null ? "none" : String.valueOf(state.get("state"));
  }

  long epoch(String name) {
    return ((Number) ColdStartInvariant.state(cluster.state(), name).get("epoch")).longValue();
  }

  MachineId machine(String name) {
    List<?> places = (List<?>) ColdStartInvariant.state(cluster.state(), name).get("places");
    return places.isEmpty()
        ? null
        : new MachineId((String) ((Map<?, ?>) places.get(0)).get("machine"));
  }

  int onMachines(int job) {
    return cluster.invariants().onMachines(new JobId("job-" + job));
  }

  /** The time when a model is next seen in a state, to the hundredth of a second. */
  double timeWhenIn(String name, String phase, double withinS) {
    double end = cluster.time().seconds() + withinS;
    while (!phase(name).equals(phase)) {
      if (cluster.time().seconds() > end) {
        throw new AssertionError(
            name
                + " is "
                + phase(name)
                + ", not "
                + phase
                + ", at "
                + cluster.time().seconds()
                + ": "
                + ColdStartInvariant.state(cluster.state(), name));
      }
      cluster.time().runUntil(cluster.time().seconds() + 0.01);
    }
    return cluster.time().seconds();
  }

  /**
   * Asserts that no rule was broken, no placement started or fetched twice, and no job forgotten.
   */
  void assertRulesKept() {
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(List.of(), cluster.environment().coldStarts().violations());
    jobs.forEach(
        job ->
            assertEquals(
                true,
                List.of("running", "queued", "cancelled")
                    .contains(cluster.users().reportedStates().get(job)),
                job + " " + cluster.users().reportedStates().get(job)));
  }
}
