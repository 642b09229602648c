package org.quincecross.emulator;

import java.util.List;
import java.util.Random;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.served.ServedBooks;
import org.quincecross.protocol.Settings;

/**
 * Everything around the controllers of a site: state service, cloud with its workers, users, and
 * who watches the rules.
 */
final class Surroundings {
  private final Site site;
  private final Clock clock;
  private final Network network;
  private final Random random;
  private final List<Endpoint> nodes;
  private final StateService state;
  private final Users users;
  private final Rules rules;
  private final IdleRoom idleRoom;
  private final Pipelines pipelines;
  private final PipelineRules pipelineRules;
  private final Tasks tasks;
  private final Cloud cloud;
  private final ServedBooks served;
  private final ColdStarts coldStarts;

  /**
   * @param nodes where each controller listens for users and workers
   * @param stateAt where each controller reaches the state service
   */
  Surroundings(
      Site site,
      Clock clock,
      Network network,
      Random random,
      List<Endpoint> nodes,
      Endpoint cloudAt,
      List<Endpoint> stateAt) {
    this.site = site;
    this.clock = clock;
    this.network = network;
    this.random = random;
    this.nodes = nodes;
    this.state = new StateService(clock, random, site.stateLimits());
    this.coldStarts = new ColdStarts(this);
    this.served = new ServedBooks(job -> Settings.objectivesOf(site.objectives(), job));
    this.users = new Users(this);
    this.rules = new Rules(this);
    this.idleRoom = new IdleRoom(this);
    this.pipelines = new Pipelines(this);
    this.pipelineRules = new PipelineRules(this, rules::breaks);
    this.tasks = new Tasks(users, rules);
    for (int node = 0; node < stateAt.size(); node++) {
      if (node == 0 || !stateAt.get(node).equals(stateAt.get(node - 1))) {
        network.host(stateAt.get(node), "state", state);
      }
    }
    this.cloud = new Cloud(this);
    network.host(cloudAt, "cloud", cloud);
    clock.after(1, this::checkRules);
  }

  private void checkRules() {
    rules.check();
    clock.after(1, this::checkRules);
  }

  Site site() {
    return site;
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

  StateService state() {
    return state;
  }

  Users users() {
    return users;
  }

  /**
   * All troubles are over: from now on no job may be left unanswered or waiting beside idle room.
   */
  void troublesAreOver() {
    users.polls().trouble();
    idleRoom.watch();
  }

  Rules rules() {
    return rules;
  }

  /** Jobs that wait for others. */
  Pipelines pipelines() {
    return pipelines;
  }

  PipelineRules pipelineRules() {
    return pipelineRules;
  }

  /** Who was served, as users and machines see it. */
  ServedBooks served() {
    return served;
  }

  /** Watches how often models are started and their weights fetched. */
  ColdStarts coldStarts() {
    return coldStarts;
  }

  MonotonicTime now() {
    return new MonotonicTime((long) (clock.seconds() * 1e9));
  }

  Tasks tasks() {
    return tasks;
  }

  Cloud cloud() {
    return cloud;
  }

  Job job(JobId id) {
    return users.job(id);
  }

  /** The controller that a redirect names; -1 where it names none. */
  int nodeNamed(String redirect) {
    for (int node = 0; node < site.nodes(); node++) {
      if (redirect.contains("\"" + Site.nodeName(node) + "\"")) {
        return node;
      }
    }
    return -1;
  }

  /** Where a controller listens. */
  Endpoint node(int node) {
    return nodes.get(node);
  }
}
