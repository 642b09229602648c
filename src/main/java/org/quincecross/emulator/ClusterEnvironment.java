package org.quincecross.emulator;

import java.util.List;
import java.util.Random;
import org.quincecross.accounting.JobAccounting;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.protocol.Settings;

/**
 * The environment of the controllers: state service, cloud with its workers, users, and the checks
 * of the rules.
 */
final class ClusterEnvironment {
  private final ClusterSpec spec;
  private final Clock clock;
  private final Network network;
  private final Random random;
  private final List<Endpoint> nodes;
  private final KeyValueStoreSimulator state;
  private final UserSimulator users;
  private final ProtocolInvariants invariants;
  private final IdleCapacityInvariant idleCapacity;
  private final DependentJobs pipelines;
  private final DependencyInvariants dependencyInvariants;
  private final TaskSimulator tasks;
  private final CloudSimulator cloud;
  private final JobAccounting accounting;
  private final ColdStartInvariant coldStarts;

  /**
   * @param nodes the address of each controller for users and workers
   * @param stateAt the address of the state service for each controller
   */
  ClusterEnvironment(
      ClusterSpec spec,
      Clock clock,
      Network network,
      Random random,
      List<Endpoint> nodes,
      Endpoint cloudAt,
      List<Endpoint> stateAt) {
    this.spec = spec;
    this.clock = clock;
    this.network = network;
    this.random = random;
    this.nodes = nodes;
    this.state = new KeyValueStoreSimulator(clock, random, spec.stateLimits());
    this.coldStarts = new ColdStartInvariant(this);
    this.accounting = new JobAccounting(job -> Settings.objectivesOf(spec.objectives(), job));
    this.users = new UserSimulator(this);
    this.invariants = new ProtocolInvariants(this);
    this.idleCapacity = new IdleCapacityInvariant(this);
    this.pipelines = new DependentJobs(this);
    this.dependencyInvariants = new DependencyInvariants(this, invariants::addViolation);
    this.tasks = new TaskSimulator(users, invariants);
    for (int node = 0; node < stateAt.size(); node++) {
      if (node == 0 || !stateAt.get(node).equals(stateAt.get(node - 1))) {
        network.host(stateAt.get(node), "state", state);
      }
    }
    this.cloud = new CloudSimulator(this);
    network.host(cloudAt, "cloud", cloud);
    clock.after(1, this::checkRules);
  }

  private void checkRules() {
    invariants.check();
    clock.after(1, this::checkRules);
  }

  ClusterSpec spec() {
    return spec;
  }

  Clock clock() {
    return clock;
  }

  Network network() {
    return network;
  }

  Random random() {
    return random;
  }

  KeyValueStoreSimulator state() {
    return state;
  }

  UserSimulator users() {
    return users;
  }

  /**
   * All faults have ended: from now on no job may stay unanswered, or wait while suitable capacity
   * is idle.
   */
  void onFaultsEnded() {
    users.polls().onFault();
    idleCapacity.watch();
  }

  ProtocolInvariants invariants() {
    return invariants;
  }

  /** Jobs with dependencies. */
  DependentJobs pipelines() {
    return pipelines;
  }

  DependencyInvariants dependencyInvariants() {
    return dependencyInvariants;
  }

  /** Service levels as users and machines observe them. */
  JobAccounting accounting() {
    return accounting;
  }

  /** Checks how often models are started and their weights fetched. */
  ColdStartInvariant coldStarts() {
    return coldStarts;
  }

  MonotonicTime now() {
    return new MonotonicTime((long) (clock.seconds() * 1e9));
  }

  TaskSimulator tasks() {
    return tasks;
  }

  CloudSimulator cloud() {
    return cloud;
  }

  Job job(JobId id) {
    return users.job(id);
  }

  /** The controller that a redirect names; -1 if it names none. */
  int nodeNamed(String redirect) {
    for (int node = 0; node < spec.nodes(); node++) {
      if (redirect.contains("\"" + ClusterSpec.nodeName(node) + "\"")) {
        return node;
      }
    }
    return -1;
  }

  /** The address of a controller. */
  Endpoint node(int node) {
    return nodes.get(node);
  }
}
