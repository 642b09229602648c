package org.quincecross.leader;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.protocol.Settings;
import org.quincecross.scheduling.Admission;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.OperatorSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scales the fleet while this controller leads: launches machines for demand without capacity, and
 * terminates machines that are idle, unreachable or faulty.
 */
public final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
  private static final TimeSpan TICK = TimeSpan.ofMillis(500);

  /** A leader that was not confirmed within this time does not act. */
  private static final TimeSpan LEADERSHIP_TIMEOUT = TimeSpan.ofSeconds(1);

  /** A new leader first waits for reports. */
  private static final TimeSpan FIRST_LAUNCH_DELAY = TimeSpan.ofSeconds(1.5);

  private static final int MAX_LAUNCH_REQUESTS = 3;
  private static final int MAX_LAUNCHED_AT_ONCE = 50;
  private static final int MAX_TERMINATED_AT_ONCE = 50;

  /**
   * The reported states of machines.
   *
   * @param machinesReportingElsewhere the machines that report to a controller other than their
   *     shard's owner
   */
  public record View(
      Map<MachineId, PeerHeartbeat.MachineState> machines,
      Set<MachineId> machinesReportingElsewhere) {}

  private final Timers timers;
  private final CloudClient cloud;
  private final Settings settings;
  private final Supplier<OperatorSettings> operators;
  private final Supplier<Incarnation> incarnation;
  private final CloudInventory inventory;
  private final ScaleOutPolicy scaleOut;
  private final ScaleInPolicy scaleIn;
  private final Set<MachineId> terminated = new HashSet<>();
  private List<Admission.Unmet> unmet = List.of();
  private Supplier<View> view;
  private MonotonicTime launchAfter;
  private MonotonicTime terminateAfter;
  private MonotonicTime confirmedAt;
  private boolean leading;
  private boolean evaluatesScaleIn;
  private int pendingLaunches;
  private boolean terminating;
  private long launchRequests;

  /**
   * Creates an autoscaler that has not started.
   *
   * @param incarnation the present incarnation of this controller
   * @param operators the operators' settings
   */
  public Autoscaler(
      Timers timers,
      HttpCaller http,
      ClusterStateCache cache,
      Settings settings,
      DemandForecast forecast,
      Supplier<Incarnation> incarnation,
      Supplier<OperatorSettings> operators) {
    this.timers = timers;
    this.settings = settings;
    this.operators = operators;
    this.incarnation = incarnation;
    this.cloud =
        new CloudClient(
            timers, http, settings.cloudAddress(), settings.cloudLimits().requestsPerSecond());
    this.inventory =
        new CloudInventory(
            timers, cloud, cache, settings.cloudLimits().listLag(), terminated::contains);
    this.scaleOut = new ScaleOutPolicy(cache, inventory.catalog());
    this.scaleIn = new ScaleInPolicy(cache, settings, forecast, operators, inventory, scaleOut);
    MonotonicTime now = timers.now();
    this.launchAfter = now;
    this.terminateAfter = now;
    this.confirmedAt = now;
  }

  /** Starts the periodic evaluation. */
  public void start() {
    timers.every(TICK, this::tick);
  }

  /** Called repeatedly while this controller leads. */
  void lead(Supplier<View> views) {
    MonotonicTime now = timers.now();
    if (!leading) {
      leading = true;
      inventory.reset();
      scaleIn.reset(terminated, now);
      launchAfter = now.plus(FIRST_LAUNCH_DELAY);
    }
    view = views;
    confirmedAt = now;
  }

  /** Called when this controller stops leading. */
  void stop() {
    leading = false;
  }

  /** The machine types that the cloud offers; empty before its first response. */
  Collection<MachineType> catalog() {
    return inventory.catalog().values();
  }

  /** Whether a machine is proven gone with everything on it. */
  boolean isGone(MachineId machine) {
    return terminated.contains(machine);
  }

  /** The machines of shards that are to be drained and get no more work, or are proven gone. */
  Set<MachineId> leaving() {
    return scaleIn.leaving();
  }

  /** The number of machines that exist or will soon, as far as is known. */
  int expected() {
    return inventory.expectedMachines();
  }

  /** Records that the agent of a machine in no shard has reported: it joins one next. */
  void reported(Machine machine) {
    inventory.incoming().reported(machine.id(), MachineKind.of(machine), timers.now());
  }

  /** Sets the demand without capacity. */
  void unmet(List<Admission.Unmet> demand) {
    unmet = demand;
  }

  /** Whether the last plan had no shard for tasks of a job. */
  boolean isUnmet(JobId job) {
    return unmet.stream().anyMatch(each -> each.job().id().equals(job));
  }

  private void tick() {
    MonotonicTime now = timers.now();
    // A leader that has lost the store may be deposed. Machines that report to it are not assigned
    // new owners any more, and terminating them as unreachable would end everything on them.
    if (!leading || view == null || now.since(confirmedAt).isLongerThan(LEADERSHIP_TIMEOUT)) {
      return;
    }
    inventory.refresh(now);
    // The next one is launched elsewhere: a zone that is cut off brings no machines up.
    inventory.incoming().markOverdue(now).forEach(kind -> scaleOut.recordRefusal(kind, now));
    // Scaling in looks at every machine and is less urgent: every second tick is enough.
    evaluatesScaleIn = !evaluatesScaleIn;
    if (evaluatesScaleIn) {
      Set<MachineId> terminable = scaleIn.evaluate(view.get(), unmet, now);
      terminable.removeAll(terminated);
      terminate(terminable, now);
    }
    launch(now);
  }

  private void terminate(Set<MachineId> terminable, MonotonicTime now) {
    if (terminable.isEmpty()
        || terminating
        || now.isBefore(terminateAfter)
        || !cloud.tryAcquire()) {
      return;
    }
    List<MachineId> machines = terminable.stream().sorted().limit(MAX_TERMINATED_AT_ONCE).toList();
    terminating = true;
    LOG.info("scale in: terminating {}", machines);
    cloud.terminate(
        machines,
        done -> {
          terminating = false;
          if (done) {
            terminated.addAll(machines);
            scaleIn.terminated(machines);
          } else {
            terminateAfter = timers.now().plus(cloud.backoff());
          }
        });
  }

  private void launch(MonotonicTime now) {
    if (!operators.get().scaleOut()
        || pendingLaunches > 0
        || now.isBefore(launchAfter)
        || unmet.isEmpty()
        || inventory.catalog().isEmpty()) {
      return;
    }
    Map<MachineKind, Integer> desired =
        scaleOut.desiredMachines(unmet, inventory.incoming().expected(), now);
    if (desired.isEmpty()) {
      LOG.debug("scale out: demand of {} jobs waits for {}", unmet.size(), inventory.incoming());
    }
    desired.forEach(
        (kind, count) -> {
          if (pendingLaunches < MAX_LAUNCH_REQUESTS && cloud.tryAcquire()) {
            launch(kind, Math.min(count, MAX_LAUNCHED_AT_ONCE));
          }
        });
  }

  private void launch(MachineKind kind, int count) {
    String requestId = settings.self() + "-" + incarnation.get() + "-" + ++launchRequests;
    pendingLaunches++;
    cloud.launch(
        requestId,
        kind.type(),
        kind.zone(),
        kind.spot(),
        count,
        result -> launched(kind, count, result));
  }

  private void launched(MachineKind kind, int count, CloudClient.LaunchResult result) {
    pendingLaunches--;
    LOG.info(
        "scale out: launched {} of {} {} machines in {} ({}): {}",
        result.machines().size(),
        count,
        kind.type(),
        kind.zone(),
        kind.spot() ? "spot" : "on demand",
        result.machines());
    inventory.incoming().launched(result.machines(), kind, timers.now());
    if (result.machines().size() < count) {
      scaleOut.recordRefusal(kind, timers.now());
    }
    if (result.machines().isEmpty() && !result.noCapacity()) {
      launchAfter = timers.now().plus(cloud.backoff());
    }
  }
}
