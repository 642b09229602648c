package org.quincecross.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.legalhold.LegalHoldKind;
import org.quincecross.legalhold.SweepClassKind;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.Json;

/**
 * A legal hold on the records of running sweeps: one lane is declared to run sweeps, all of its
 * records are held, and the controller that received the request is killed in the middle. Once the
 * record says "pinned", no task of the lane may be on a machine until the hold is closed.
 */
final class HoldDrill {
  /** The state of the drill. */
  enum State {
    WAITS_FOR_LEVEL,
    TELLS_LANE,
    OPENS,
    PINNING,
    PINNED,
    CLOSES,
    OVER,
    FAILED
  }

  private static final String REFERENCE = "drill";
  private static final String SERIES = "records";
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(5);
  private static final double RETRY_DELAY_S = 1;
  private static final double KILL_DELAY_S = 0.03;
  private static final double RESTART_DELAY_S = 3;
  private static final double OBSERVATION_S = 4;
  private static final double PIN_TIMEOUT_S = 60;
  private static final double LEVEL_TIMEOUT_S = 90;

  private final ClusterEnvironment environment;
  private final List<ControllerProcess> controllers;
  private final Map<String, Object> result;
  private State state = State.WAITS_FOR_LEVEL;
  private double stateSince;
  private double openedAt;
  private String lane;

  HoldDrill(
      ClusterEnvironment environment,
      List<ControllerProcess> controllers,
      Map<String, Object> result) {
    this.environment = environment;
    this.controllers = controllers;
    this.result = result;
    this.stateSince = environment.clock().seconds();
  }

  State state() {
    return state;
  }

  /** The only place where the state changes. */
  private void enter(State next) {
    state = next;
    stateSince = environment.clock().seconds();
  }

  private void fail(String why) {
    result.put("why", why);
    enter(State.FAILED);
  }

  /** Advances the drill; called several times a second. */
  void advance() {
    double now = environment.clock().seconds();
    switch (state) {
      case WAITS_FOR_LEVEL -> {
        lane = laneOfOpenArray();
        if (lane == null) {
          fail("no array is left that could be a sweep");
        } else if (environment.state().value("q/level") instanceof Map<?, ?> level
            && level.get("level") instanceof Number number
            && number.intValue() > 2) {
          enter(State.TELLS_LANE);
          sendUntilApplied(
              0,
              SweepClassKind.NAME,
              lane,
              Json.object("series", List.of(SERIES)),
              () -> enter(State.OPENS));
        } else if (now - stateSince > LEVEL_TIMEOUT_S) {
          fail("the level of agreed records is not in force");
        }
      }
      case OPENS -> {
        openedAt = now;
        result.put("tasks_running", runningTasksOfLane());
        enter(State.PINNING);
        sendUntilApplied(
            1,
            LegalHoldKind.NAME,
            REFERENCE,
            Json.object("do", "open", "records", List.of(SERIES)),
            () -> {});
        environment.clock().after(KILL_DELAY_S, this::kill);
      }
      case PINNING -> {
        if ("PINNED".equals(holdRecord())) {
          result.put("pinned_s", LocalCluster.round(now - openedAt));
          enter(State.PINNED);
        } else if (now - stateSince > PIN_TIMEOUT_S) {
          fail(
              "not pinned after "
                  + PIN_TIMEOUT_S
                  + " s, "
                  + runningTasksOfLane()
                  + " tasks of "
                  + lane
                  + " run");
        }
      }
      case PINNED -> {
        if (runningTasksOfLane() > 0) {
          fail(runningTasksOfLane() + " tasks of " + lane + " run though their records are pinned");
        } else if (now - stateSince > OBSERVATION_S) {
          enter(State.CLOSES);
          sendUntilApplied(
              2,
              LegalHoldKind.NAME,
              REFERENCE,
              Json.object("do", "close", "opening", 1),
              () -> enter(State.OVER));
        }
      }
      case TELLS_LANE, CLOSES, OVER, FAILED -> {}
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private void kill() {
    controllers.get(1).kill();
    environment
        .clock()
        .after(
            RESTART_DELAY_S,
            () -> {
              try {
                controllers.get(1).start();
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
  }

  private Object holdRecord() {
    return environment.state().value("q/agreed/" + LegalHoldKind.NAME + "/" + REFERENCE)
                instanceof Map<?, ?> record
            && record.get("state") instanceof Map<?, ?> hold
        ? hold.get("state")
        : null;
  }

  /** The lane of an array that has not ended, or null. */
  private String laneOfOpenArray() {
    for (JobId id : environment.users().reportedStates().keySet()) {
      Job job = environment.job(id);
      if (job.kind() == JobKind.ARRAY
          && !"done".equals(environment.users().reportedStates().get(id))) {
        return job.jobClass();
      }
    }
    return null;
  }

  private int runningTasksOfLane() {
    return environment.users().reportedStates().keySet().stream()
        .filter(id -> environment.job(id).jobClass().equals(lane))
        .mapToInt(environment.invariants()::onMachines)
        .sum();
  }

  /**
   * Sends one request, under the same request name, to one controller after the other until it is
   * applied or refused.
   */
  private void sendUntilApplied(
      int node, String kind, String id, Map<String, Object> command, Runnable done) {
    byte[] body =
        Json.write(
            Json.object(
                "request",
                kind + "-" + command.getOrDefault("do", "tell"),
                "by",
                "drill",
                "command",
                command));
    Consumer<HttpOutcome> answered =
        outcome -> {
          int status = outcome.status();
          if (status == 200) {
            done.run();
          } else if (status >= 400 && status < 500 && status != 429 && status != 409) {
            fail("refused with " + status);
          } else {
            environment
                .clock()
                .after(
                    RETRY_DELAY_S,
                    () ->
                        sendUntilApplied((node + 1) % controllers.size(), kind, id, command, done));
          }
        };
    environment
        .network()
        .call(
            new ProcessScope(),
            "users",
            environment.node(node),
            HttpRequest.post("/admin/agreed/" + kind + "/" + id, body),
            TIMEOUT,
            answered);
  }
}
