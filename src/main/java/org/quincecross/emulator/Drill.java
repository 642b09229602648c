package org.quincecross.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.protocol.Json;

/** Injects one fault into a trial deployment and measures how long recovery takes. */
public final class Drill {
  /** The fault to inject. */
  public enum Kind {
    /** All controllers are killed and restarted at once. */
    RESTART,
    /**
     * The controller of one zone is suspended, and the workers there hang, for longer than a lease.
     */
    ZONE,
    /** The state service refuses all requests for a while. */
    STATE,
    /** Half of the machines are lost without notice. */
    WORKERS,
    /**
     * A third of the machines still send reports, but receive nothing for three and a half leases;
     * meanwhile a controller is killed and restarted. The replicas must run elsewhere before these
     * machines receive messages again.
     */
    DEAF,
    /**
     * The controllers are replaced one after the other, under load, by a build that supports the
     * next feature level; the first one is rolled back once. Then jobs with dependencies are
     * submitted, and the state service lowers its limits. The drill ends when the level has risen.
     */
    ROLL,
    /**
     * Records of running sweeps are placed under a legal hold, and a controller is killed while the
     * records are being pinned.
     */
    HOLD,
    /**
     * A model scales up from zero, cold and then cached, with requests at all controllers; the
     * leader is killed in the middle.
     */
    MODEL
  }

  /** The phase of the drill. */
  enum Phase {
    WAITS_FOR_REPLICAS,
    TROUBLE,
    RECOVERY,
    OVER,
    FAILED
  }

  private static final double CHECK_INTERVAL_S = 0.1;
  private static final double STATE_OUTAGE_S = 12;
  private static final double REPLACEMENT_INTERVAL_S = 5;
  private static final double LEVEL_RISE_TIMEOUT_S = 60;
  private static final double ZONE_OUTAGE_LEASES = 1.5;
  private static final double INBOUND_LOSS_LEASES = 3.5;
  private static final int INBOUND_LOSS_ONE_IN = 3;
  private static final double KILL_DELAY_S = 5;
  private static final double RESTART_DELAY_S = 1;
  private static final double PREPARATION_TIMEOUT_S = 90;
  private static final double RECOVERY_TIMEOUT_S = 150;

  private final Kind kind;
  private final ClusterEnvironment environment;
  private final List<ControllerProcess> controllers;

  /** The commands of the controllers before and after a rolling upgrade; empty if there is none. */
  private final List<List<String>> commandsBefore;

  private final List<List<String>> commandsAfter;
  private final Map<String, Object> result;
  private Phase phase = Phase.WAITS_FOR_REPLICAS;
  private double phaseSince;
  private double faultAt;
  private double notBefore;
  private int acceptedBefore;
  private double missingS;
  private Runnable onAllReplaced = () -> {};
  private HoldDrill holdDrill;
  private ModelDrill modelDrill;

  Drill(
      Kind kind,
      ClusterEnvironment environment,
      List<ControllerProcess> controllers,
      List<List<String>> before,
      List<List<String>> after) {
    this.commandsBefore = before;
    this.commandsAfter = after;
    this.kind = kind;
    this.environment = environment;
    this.controllers = controllers;
    this.result = Json.object("kind", kind.toString().toLowerCase(java.util.Locale.ROOT));
  }

  boolean isOver() {
    return phase == Phase.OVER;
  }

  Phase phase() {
    return phase;
  }

  /** Registers an action that runs once a rolling upgrade has replaced all controllers. */
  void whenAllReplaced(Runnable what) {
    onAllReplaced = what;
  }

  /** The measurements, in seconds since the fault began. */
  Map<String, Object> result() {
    result.put("phase", phase.toString().toLowerCase(java.util.Locale.ROOT));
    return result;
  }

  /** The only place where the phase changes. */
  private void enter(Phase next) {
    phase = next;
    phaseSince = environment.clock().seconds();
  }

  /** Injects the fault once the replicas run, but not earlier than {@code afterS} from now. */
  void begin(double afterS) {
    notBefore = environment.clock().seconds() + afterS;
    enter(Phase.WAITS_FOR_REPLICAS);
    environment.clock().after(CHECK_INTERVAL_S, this::check);
  }

  private void check() {
    double now = environment.clock().seconds();
    switch (phase) {
      case WAITS_FOR_REPLICAS -> {
        if (now >= notBefore && replicasMissing() == 0 && allAccepted()) {
          result.put("replicas", replicas());
          result.put("machines", environment.cloud().workers().size());
          acceptedBefore = environment.users().acceptedAfter().size();
          faultAt = now;
          enter(Phase.TROUBLE);
          injectFault();
        } else if (now - phaseSince > PREPARATION_TIMEOUT_S) {
          result.put("why", replicasMissing() + " replicas never ran");
          enter(Phase.FAILED);
        }
      }
      case TROUBLE -> {
        if (kind == Kind.ROLL) {
          checkRollingUpgrade(now);
        } else if (kind == Kind.DEAF) {
          checkInboundLoss(now);
        } else if (kind == Kind.HOLD) {
          holdDrill.advance();
          if (holdDrill.state() == HoldDrill.State.OVER
              || holdDrill.state() == HoldDrill.State.FAILED) {
            enter(holdDrill.state() == HoldDrill.State.OVER ? Phase.RECOVERY : Phase.FAILED);
          }
        }
      }
      case RECOVERY -> {
        measure(now);
        if (kind == Kind.DEAF && result.containsKey("why")) {
          enter(Phase.FAILED);
        } else if (result.containsKey("all_replicas_s") && result.containsKey("all_workers_s")) {
          enter(Phase.OVER);
        } else if (now - phaseSince > RECOVERY_TIMEOUT_S) {
          result.put(
              "why",
              replicasMissing()
                  + " replicas do not run, "
                  + workersUnanswered()
                  + " workers were not answered");
          enter(Phase.FAILED);
        }
      }
      default -> throw new IllegalStateException(phase.toString());
    }
    if (phase != Phase.OVER && phase != Phase.FAILED) {
      environment.clock().after(CHECK_INTERVAL_S, this::check);
    }
  }

  private void injectFault() {
    try {
      switch (kind) {
        case RESTART -> {
          controllers.forEach(ControllerProcess::kill);
          faultAt = environment.clock().seconds();
          for (ControllerProcess controller : controllers) {
            controller.start();
          }
          enter(Phase.RECOVERY);
        }
        case ZONE -> {
          double length = ZONE_OUTAGE_LEASES * environment.spec().workers().lease().seconds();
          String zone = environment.spec().nodeZones().get(0);
          controllers.get(0).setSuspended(true);
          environment.cloud().workers().stream()
              .filter(worker -> worker.machine().zone().equals(zone))
              .forEach(worker -> worker.suspend(length));
          endFaultAfter(length, () -> controllers.get(0).setSuspended(false));
        }
        case STATE -> {
          environment.state().outage(STATE_OUTAGE_S);
          endFaultAfter(STATE_OUTAGE_S, () -> {});
        }
        case WORKERS -> {
          List<MachineId> machines = new ArrayList<>(environment.cloud().machines());
          for (int i = 0; i < machines.size(); i += 2) {
            environment.cloud().terminate(machines.get(i), 0);
          }
          result.put("machines_lost", (machines.size() + 1) / 2);
          enter(Phase.RECOVERY);
        }
        case DEAF -> {
          double length = INBOUND_LOSS_LEASES * environment.spec().workers().lease().seconds();
          List<AgentSimulator> workers = environment.cloud().workers();
          for (int i = 0; i < workers.size(); i += INBOUND_LOSS_ONE_IN) {
            workers.get(i).dropInbound(length);
          }
          result.put(
              "machines_deaf", (workers.size() + INBOUND_LOSS_ONE_IN - 1) / INBOUND_LOSS_ONE_IN);
          environment.clock().after(KILL_DELAY_S, () -> controllers.get(0).kill());
          environment
              .clock()
              .after(KILL_DELAY_S + RESTART_DELAY_S, () -> start(controllers.get(0)));
          endFaultAfter(
              length,
              () -> {
                if (!result.containsKey("replicas_elsewhere_s")) {
                  result.put(
                      "why", replicasMissing() + " replicas waited for machines that did not hear");
                }
              });
        }
        case HOLD -> holdDrill = new HoldDrill(environment, controllers, result);
        case ROLL -> {
          replace(0, 0, commandsAfter);
          replace(1, 0, commandsBefore);
          for (int node = 0; node < controllers.size(); node++) {
            replace(2 + node, node, commandsAfter);
          }
          double allNewAfterS = (1 + controllers.size()) * REPLACEMENT_INTERVAL_S;
          environment.clock().after(allNewAfterS, () -> onAllReplaced.run());
          environment
              .clock()
              .after(
                  allNewAfterS + REPLACEMENT_INTERVAL_S,
                  () -> {
                    environment
                        .state()
                        .limit(environment.spec().stateLimits().min(ClusterSpec.TRY_OUT_NEXT));
                    result.put(
                        "limits_lowered_s",
                        LocalCluster.round(environment.clock().seconds() - faultAt));
                  });
        }
        case MODEL -> {
          modelDrill =
              new ModelDrill(
                  environment,
                  controllers,
                  result,
                  () -> enter(modelDrill.hasFailed() ? Phase.FAILED : Phase.RECOVERY));
          modelDrill.begin();
        }
        default -> throw new IllegalStateException(kind.toString());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void replace(int step, int node, List<List<String>> commands) {
    environment
        .clock()
        .after(
            step * REPLACEMENT_INTERVAL_S,
            () -> {
              try {
                controllers.get(node).replaceBy(commands.get(node));
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
  }

  private static void start(ControllerProcess controller) {
    try {
      controller.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * The replicas of machines without a valid lease go missing when the lease expires, and have been
   * replaced when none is missing.
   */
  private void checkInboundLoss(double now) {
    if (replicasMissing() > 0) {
      missingS += CHECK_INTERVAL_S;
      result.remove("replicas_elsewhere_s");
    } else if (missingS > 0) {
      result.putIfAbsent("replicas_elsewhere_s", LocalCluster.round(now - faultAt));
    }
    result.put("replicas_missing_s", LocalCluster.round(missingS));
  }

  private void checkRollingUpgrade(double now) {
    missingS += replicasMissing() > 0 ? CHECK_INTERVAL_S : 0;
    result.put("replicas_missing_s", LocalCluster.round(missingS));
    boolean risen =
        environment.state().value("q/level") instanceof Map<?, ?> level
            && level.get("level") instanceof Number number
            && number.intValue() > 1;
    if (risen && result.containsKey("limits_lowered_s")) {
      result.put("level_risen_s", LocalCluster.round(now - faultAt));
      result.put(
          "longest_answer_s",
          LocalCluster.round(
              environment.users().longestResponseS().values().stream()
                  .mapToDouble(each -> each)
                  .max()
                  .orElse(0)));
      enter(Phase.RECOVERY);
    } else if (now - faultAt
        > (controllers.size() + 2) * REPLACEMENT_INTERVAL_S + LEVEL_RISE_TIMEOUT_S) {
      result.put("why", "the level has not risen");
      enter(Phase.FAILED);
    }
  }

  /** Ends a fault. */
  private interface FaultEnd {
    void run() throws IOException;
  }

  private void endFaultAfter(double afterS, FaultEnd end) {
    environment
        .clock()
        .after(
            afterS,
            () -> {
              try {
                end.run();
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
              result.put("trouble_s", afterS);
              enter(Phase.RECOVERY);
            });
  }

  private void measure(double now) {
    double began = kind == Kind.RESTART ? faultAt : phaseSince;
    List<AgentSimulator> workers = environment.cloud().workers();
    if (workers.stream().anyMatch(worker -> worker.lastAnsweredReportAt() > began)) {
      result.putIfAbsent("first_report_answered_s", LocalCluster.round(now - faultAt));
    }
    if (workersUnanswered() == 0) {
      result.putIfAbsent("all_workers_s", LocalCluster.round(now - faultAt));
    }
    if (replicasMissing() == 0 && result.containsKey("all_workers_s")) {
      result.putIfAbsent("all_replicas_s", LocalCluster.round(now - faultAt));
    }
    if (environment.users().acceptedAfter().size() > acceptedBefore) {
      result.putIfAbsent("first_job_accepted_s", LocalCluster.round(now - faultAt));
    }
  }

  private long workersUnanswered() {
    double began = kind == Kind.RESTART ? faultAt : phaseSince;
    return environment.cloud().workers().stream()
        .filter(worker -> worker.lastAnsweredReportAt() <= began)
        .count();
  }

  private boolean allAccepted() {
    return environment.users().submitted() > 0
        && environment.users().acceptedAfter().size() >= environment.users().submitted();
  }

  private Set<Job> services() {
    Set<Job> services = new HashSet<>();
    for (JobId id : environment.users().reportedStates().keySet()) {
      Job job = environment.job(id);
      if (job.kind() == JobKind.SERVICE && environment.invariants().cancelledAt(id) == null) {
        services.add(job);
      }
    }
    return services;
  }

  private int replicas() {
    return services().stream().mapToInt(Job::taskCount).sum();
  }

  private int replicasMissing() {
    return services().stream()
        .mapToInt(job -> job.taskCount() - environment.invariants().onMachines(job.id()))
        .sum();
  }
}
