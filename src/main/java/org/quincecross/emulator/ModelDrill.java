package org.quincecross.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.Json;
import org.quincecross.rollout.Feature;

/**
 * A model that scales up from zero twice, once cold and once with its weights cached. All
 * controllers receive repeated wake requests, and the leader is killed in the middle.
 */
final class ModelDrill {
  /** The phase of the drill. */
  enum Phase {
    /** Waits for the feature level that introduces replicated records. */
    LEVEL,
    /** Its job is submitted, and defined as a model before any machine has its weights. */
    DEFINING,
    /** Waits until the model has no replicas. */
    TO_ZERO,
    /** Waits until the model serves, with its weights on no machine beforehand. */
    COLD,
    /** Waits until the model is idle and has no replicas again. */
    IDLE,
    /** Waits until the model serves, with its weights in caches. */
    CACHED,
    OVER,
    FAILED
  }

  private static final String NAME = "drilled";
  private static final JobId JOB = new JobId("job-990001");
  private static final int REPLICAS = 2;
  private static final double WEIGHTS_GB = 8;
  private static final double IDLE_TIMEOUT_S = 6;
  private static final double CHECK_INTERVAL_S = 0.05;
  private static final double WAKE_INTERVAL_S = 0.2;
  private static final double PHASE_TIMEOUT_S = 60;
  private static final double KILL_DELAY_S = 0.3;

  private final ClusterEnvironment environment;
  private final List<ControllerProcess> controllers;
  private final Map<String, Object> result;
  private final Runnable onOver;
  private Phase phase;
  private double phaseSince;
  private double lastWakeAt = -10;
  private int wakes;

  /**
   * @param result receives the measurements
   * @param onOver runs at the end
   */
  ModelDrill(
      ClusterEnvironment environment,
      List<ControllerProcess> controllers,
      Map<String, Object> result,
      Runnable onOver) {
    this.environment = environment;
    this.controllers = controllers;
    this.result = result;
    this.onOver = onOver;
  }

  void begin() {
    enter(Phase.LEVEL);
    environment.clock().after(CHECK_INTERVAL_S, this::check);
  }

  boolean hasFailed() {
    return phase == Phase.FAILED;
  }

  /** The only place where the phase changes. */
  private void enter(Phase next) {
    phase = next;
    phaseSince = environment.clock().seconds();
  }

  private String state() {
    Map<?, ?> state = ColdStartInvariant.state(environment.state(), NAME);
    return state == null ? "" : String.valueOf(state.get("state"));
  }

  private boolean isServing() {
    return state().equals("WARM") && environment.invariants().onMachines(JOB) == REPLICAS;
  }

  private void check() {
    double now = environment.clock().seconds();
    switch (phase) {
      case LEVEL -> {
        if (environment.state().value("q/level") instanceof Map<?, ?> level
            && level.get("level") instanceof Number number
            && number.intValue() >= Feature.AGREED_RECORDS.since().number()) {
          environment
              .users()
              .submit(
                  Job.builder(JOB)
                      .jobClass("front")
                      .team("web")
                      .kind(JobKind.SERVICE)
                      .priority(Priority.PRODUCTION)
                      .taskCount(REPLICAS)
                      .taskResources(new Resources(2, 0, 4))
                      .image("weights")
                      .imageGb(WEIGHTS_GB)
                      .estimate(TimeSpan.ZERO)
                      .build());
          enter(Phase.DEFINING);
        }
      }
      case DEFINING -> {
        if (!state().isEmpty()) {
          environment.coldStarts().watch(NAME, JOB);
          enter(Phase.TO_ZERO);
        } else if (now - lastWakeAt > WAKE_INTERVAL_S) {
          lastWakeAt = now;
          post(
              0,
              "",
              Json.object(
                  "job",
                  JOB.text(),
                  "least",
                  REPLICAS,
                  "most",
                  REPLICAS,
                  "idle_s",
                  IDLE_TIMEOUT_S,
                  "request",
                  "drill-define"),
              outcome -> {});
        }
      }
      case TO_ZERO -> {
        if (state().equals("ZERO") && environment.invariants().onMachines(JOB) == 0) {
          enter(Phase.COLD);
          environment.clock().after(KILL_DELAY_S, this::killLeader);
        }
      }
      case COLD -> {
        wakeAtAllControllers();
        if (isServing()) {
          result.put("cold_ready_s", LocalCluster.round(now - phaseSince));
          result.put("cold_starts", environment.coldStarts().starts());
          result.put("cold_fetches", environment.coldStarts().fetches());
          enter(Phase.IDLE);
        }
      }
      case IDLE -> {
        if (state().equals("ZERO") && environment.invariants().onMachines(JOB) == 0) {
          result.put("back_at_zero_s", LocalCluster.round(now - phaseSince));
          enter(Phase.CACHED);
          environment.clock().after(KILL_DELAY_S, this::killLeader);
        }
      }
      case CACHED -> {
        wakeAtAllControllers();
        if (isServing()) {
          result.put("cached_ready_s", LocalCluster.round(now - phaseSince));
          end(Phase.OVER);
        }
      }
      default -> throw new IllegalStateException(phase.toString());
    }
    if (phase != Phase.OVER && phase != Phase.FAILED) {
      if (now - phaseSince > PHASE_TIMEOUT_S) {
        result.put(
            "why",
            "nothing more happened in phase "
                + phase
                + ": "
                + ColdStartInvariant.state(environment.state(), NAME));
        end(Phase.FAILED);
        return;
      }
      environment.clock().after(CHECK_INTERVAL_S, this::check);
    }
  }

  private void end(Phase last) {
    result.put("wakes", wakes);
    result.put("starts", environment.coldStarts().starts());
    result.put("fetches", environment.coldStarts().fetches());
    result.put("twice", environment.coldStarts().violations());
    environment.users().cancel(JOB);
    enter(environment.coldStarts().violations().isEmpty() ? last : Phase.FAILED);
    onOver.run();
  }

  private void wakeAtAllControllers() {
    for (int node = 0; node < controllers.size(); node++) {
      wakes++;
      post(node, "/wake", Json.object(), outcome -> {});
    }
  }

  private void post(int node, String what, Map<String, Object> body, Consumer<HttpOutcome> done) {
    environment
        .network()
        .call(
            new ProcessScope(),
            "operators",
            environment.node(node),
            HttpRequest.post("/admin/models/" + NAME + what, Json.write(body)),
            TimeSpan.ofSeconds(2),
            done);
  }

  private void killLeader() {
    Object leads = environment.state().value("q/leads");
    String leader =
        leads instanceof Map<?, ?> record
            ? String.valueOf(record.get("member"))
            : ClusterSpec.nodeName(0);
    int node = environment.nodeNamed("\"" + leader + "\"");
    try {
      controllers.get(Math.max(0, node)).kill();
      controllers.get(Math.max(0, node)).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    result.merge("controllers_killed", 1, (a, b) -> (int) a + (int) b);
  }
}
