package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;

/** Checks the rules of the protocol, at a cost proportional to the number of events. */
final class ProtocolInvariants {
  private final ClusterEnvironment environment;
  private final Map<TaskId, Map<MachineId, Machine>> taskArrived = new HashMap<>();
  private final Map<JobId, Map<String, Integer>> zones = new HashMap<>();
  private final Map<String, Resources> used = new HashMap<>();
  private final Map<JobId, Double> cancelled = new HashMap<>();
  private final Set<JobId> overdueCancellations = new HashSet<>();
  private final Map<JobId, String> lastStates = new HashMap<>();
  private final Map<JobId, String> finalStates = new HashMap<>();
  private final Map<JobId, Set<Integer>> done = new HashMap<>();
  private final Map<JobId, Integer> startsOf = new HashMap<>();
  private final Map<JobId, TaskSet> startedTasks = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private Resources serviceResources = Resources.NONE;
  private int starts;

  ProtocolInvariants(ClusterEnvironment environment) {
    this.environment = environment;
  }

  List<String> violations() {
    return violations;
  }

  int starts() {
    return starts;
  }

  /** How often tasks of a job have started. */
  int started(JobId job) {
    return startsOf.getOrDefault(job, 0);
  }

  /** Records that a rule is broken. */
  void addViolation(String rule, Object what) {
    violations.add(rule + " at " + environment.clock().seconds() + ": " + what);
  }

  /** The only place where the counts of running tasks change. */
  private void count(TaskId task, Machine machine, int more) {
    Job job = environment.job(task.job());
    used.merge(job.team(), job.taskResources().times(more), Resources::plus);
    if (job.kind() == JobKind.SERVICE) {
      serviceResources = serviceResources.plus(job.taskResources().times(more));
    }
    Map<String, Integer> ofJob = zones.computeIfAbsent(task.job(), id -> new HashMap<>());
    ofJob.merge(machine.zone(), more, Integer::sum);
    ofJob.values().remove(0);
    if (ofJob.isEmpty()) {
      zones.remove(task.job());
    }
  }

  void taskArrived(TaskId task, Machine machine) {
    starts++;
    startsOf.merge(task.job(), 1, Integer::sum);
    Job job = environment.job(task.job());
    TaskSet everOn = startedTasks.computeIfAbsent(task.job(), id -> new TaskSet());
    everOn.add(task.index());
    environment.accounting().started(task.job(), everOn.size(), environment.now());
    Map<MachineId, Machine> places = taskArrived.computeIfAbsent(task, t -> new HashMap<>(2));
    if (places.put(machine.id(), machine) == null) {
      count(task, machine, 1);
    }
    if (places.size() > 1) {
      addViolation("ran_twice", task + " on " + places.keySet());
    }
    if (!used(job.team()).fitsIn(environment.spec().teams().get(job.team()).limit())) {
      addViolation("quota", task + " brings " + job.team() + " to " + used(job.team()));
    }
    Map<String, Integer> inZones = zones.get(job.id());
    boolean misplaced =
        !job.allows(machine.type(), machine.zone(), machine.spot())
            || (job.singleZone() && inZones.size() > 1)
            || (job.spreadOverZones() && inZones.get(machine.zone()) > job.maxTasksPerZone());
    if (misplaced) {
      addViolation("wrong_place", task + " on " + machine);
    }
    checkCancelled(job.id());
    environment.dependencyInvariants().starts(task);
  }

  void taskLeft(TaskId task, MachineId machine) {
    Map<MachineId, Machine> places = taskArrived.get(task);
    if (places != null) {
      checkCancelled(task.job());
      Machine left = places.remove(machine);
      if (left != null) {
        count(task, left, -1);
      }
      if (places.isEmpty()) {
        taskArrived.remove(task);
      }
    }
  }

  void completed(TaskId task) {
    boolean isNew = done.computeIfAbsent(task.job(), job -> new HashSet<>()).add(task.index());
    if (isComplete(task.job())) {
      environment.accounting().done(task.job(), environment.now());
      environment.pipelines().completed(task.job());
      if (isNew) {
        environment.users().publish(UserSimulator.JobEvent.LAST_TASK_ENDED, task.job());
      }
    }
  }

  boolean isCompleted(TaskId task) {
    return done.getOrDefault(task.job(), Set.of()).contains(task.index());
  }

  /** Whether all tasks of a job are done. */
  boolean isComplete(JobId job) {
    return environment.job(job) != null && completedTasks(job) == environment.job(job).taskCount();
  }

  int completedTasks(JobId job) {
    return done.getOrDefault(job, Set.of()).size();
  }

  /** When the job's user was told that it is cancelled, or null. */
  Double cancelledAt(JobId job) {
    return cancelled.get(job);
  }

  /** The number of tasks of a job on machines. */
  int onMachines(JobId job) {
    return zones.getOrDefault(job, Map.of()).values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The number of tasks of a job on machines in a zone. */
  int onMachines(JobId job, String zone) {
    return zones.getOrDefault(job, Map.of()).getOrDefault(zone, 0);
  }

  /** The number of tasks on a machine. */
  int onMachine(MachineId machine) {
    return (int)
        taskArrived.values().stream().filter(places -> places.containsKey(machine)).count();
  }

  /** Whether a task of one of these jobs is on a machine. */
  boolean runsAny(MachineId machine, Set<JobId> jobs) {
    return taskArrived.entrySet().stream()
        .anyMatch(
            each -> jobs.contains(each.getKey().job()) && each.getValue().containsKey(machine));
  }

  boolean isOn(TaskId task) {
    return taskArrived.containsKey(task);
  }

  /** The number of tasks on machines. */
  int onMachines() {
    return taskArrived.size();
  }

  /** The resources of a team's tasks on machines. */
  Resources used(String team) {
    return used.getOrDefault(team, Resources.NONE);
  }

  /** The resources of service tasks on machines. */
  Resources serviceResources() {
    return serviceResources;
  }

  /** Checks what depends on time; called periodically. */
  void check() {
    cancelled.keySet().forEach(this::checkCancelled);
    environment.dependencyInvariants().check();
  }

  private void checkCancelled(JobId job) {
    Double at = cancelled.get(job);
    if (at != null
        && !overdueCancellations.contains(job)
        && zones.containsKey(job)
        && environment.clock().seconds()
            > at + environment.spec().workers().cancelTimeout().seconds()) {
      overdueCancellations.add(job);
      addViolation("ran_cancelled", job + " in " + zones.get(job));
    }
  }

  /** The state of a job that users were told last, or null. */
  String lastReportedState(JobId id) {
    return lastStates.get(id);
  }

  /**
   * A user was told the state of a job; {@code before} is the last state told when the request was
   * sent.
   */
  void onStateReported(JobId id, String state, String before, boolean asked) {
    lastStates.put(id, state);
    if (before != null
        && (before.equals("done") || before.equals("cancelled"))
        && !before.equals(state)) {
      addViolation("went_back", id + " from " + before + " to " + state);
    }
    String finalState =
        state.equals("done") || state.equals("cancelled")
            ? finalStates.putIfAbsent(id, state)
            : null;
    if (finalState != null && !finalState.equals(state)) {
      addViolation(
          "told_two_ends",
          id
              + " is "
              + finalState
              + " and "
              + state); // a final state never changes, whenever the request was sent
    }
    if (state.equals("cancelled")) {
      cancelled.putIfAbsent(id, environment.clock().seconds());
      if (!asked && !environment.dependencyInvariants().isDependencyCancelRequested(id)) {
        addViolation("went_back", id + " was not cancelled by its user");
      }
    }
    if (state.equals("done")
        && done.getOrDefault(id, Set.of()).size() < environment.job(id).taskCount()) {
      addViolation("not_done", id);
    }
  }

  /**
   * An answer without the job's state; {@code before} is the last state told when the request was
   * sent.
   */
  void onRefused(JobId id, int status, String before) {
    if (before != null && (status == 400 || status == 404 || status == 422)) {
      addViolation("went_back", id + " from " + before + " to " + status);
    }
  }

  /** A job waited although there was room for it. */
  void onLeftWaiting(JobId id, double seconds) {
    addViolation("idle_room", environment.job(id) + " for " + seconds + " s");
  }

  boolean hasCancelled() {
    return !cancelled.isEmpty();
  }

  /** A controller sends a start: none may be sent for a job whose cancellation is confirmed. */
  void startSent(JobId id) {
    if (cancelled.containsKey(id)) {
      addViolation("started_cancelled", id + ", confirmed as cancelled at " + cancelled.get(id));
    }
  }

  /** A request that concerns no accepted job got an answer that the protocol does not permit. */
  void onWrongAnswer(String what, int status) {
    addViolation(
        status == 200 || status == 201 ? "accepted_bad" : "wrong_answer", what + " got " + status);
  }
}
