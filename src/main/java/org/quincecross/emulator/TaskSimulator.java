package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Job;
import org.quincecross.model.TaskId;

/**
 * Simulates the work of tasks, wherever they run: their progress, and how the tasks of a gang find
 * one another.
 */
final class TaskSimulator {
  private record TaskStart(TaskId task, long attempt) {}

  private final UserSimulator users;
  private final ProtocolInvariants rules;
  private final Map<TaskId, Double> checkpointedSeconds = new HashMap<>();
  private final Map<TaskId, Double> extraSeconds = new HashMap<>();
  private final Map<TaskStart, AgentSimulator> waitingGangTasks = new HashMap<>();

  TaskSimulator(UserSimulator users, ProtocolInvariants rules) {
    this.users = users;
    this.rules = rules;
  }

  /** The remaining work of a task, in seconds at nominal speed. */
  double secondsLeft(TaskId task) {
    if (rules.isCompleted(task)) {
      return 0; // its result is stored
    }
    Job job = users.job(task.job());
    return Math.max(
        0,
        secondsOf(job)
            + extraSeconds.getOrDefault(task, 0.0)
            - checkpointedSeconds.getOrDefault(task, 0.0));
  }

  /**
   * The work of each task of a job, in seconds at nominal speed: between half and one and a half
   * times its estimate.
   */
  double secondsOf(Job job) {
    return job.estimate().seconds() * (0.5 + Math.floorMod(job.id().hashCode(), 100) / 100.0);
  }

  /** Gives a task {@code seconds} more work than the other tasks of its job; less if negative. */
  void runsLonger(TaskId task, double seconds) {
    extraSeconds.put(task, seconds);
  }

  /** A task saved a checkpoint {@code seconds} of work after its start. */
  void save(TaskId task, double seconds) {
    checkpointedSeconds.merge(task, seconds, Double::sum);
  }

  void onGangTaskGone(TaskId task, long attempt) {
    waitingGangTasks.remove(new TaskStart(task, attempt));
  }

  /**
   * A gang task waits for the others: once all wait, they start together, at the pace of the
   * slowest machine.
   */
  void onGangTaskWaiting(Job job, TaskId task, long attempt, AgentSimulator newWorker) {
    waitingGangTasks.put(new TaskStart(task, attempt), newWorker);
    List<AgentSimulator> workers = new ArrayList<>();
    double seconds = 0;
    double speed = Double.MAX_VALUE;
    for (int i = 0; i < job.taskCount(); i++) {
      TaskId each = job.id().task(i);
      AgentSimulator worker = waitingGangTasks.get(new TaskStart(each, attempt));
      if (worker == null || !worker.isWaitingForGang(each, attempt)) {
        return;
      }
      workers.add(worker);
      seconds = Math.max(seconds, secondsLeft(each));
      speed = Math.min(speed, worker.speed());
    }
    for (int i = 0; i < job.taskCount(); i++) {
      workers.get(i).startGangTask(job, job.id().task(i), attempt, seconds / speed);
    }
  }

  /** A gang completes together: when one task is done, all are. */
  void completeGang(Job job, long attempt) {
    for (int i = 0; i < job.taskCount(); i++) {
      TaskId task = job.id().task(i);
      rules.completed(task);
      AgentSimulator worker = waitingGangTasks.get(new TaskStart(task, attempt));
      if (worker != null) {
        worker.complete(task, attempt);
      }
    }
  }

  void onGangLost(Job job, long attempt) {
    for (int i = 0; i < job.taskCount(); i++) {
      AgentSimulator worker = waitingGangTasks.get(new TaskStart(job.id().task(i), attempt));
      if (worker != null) {
        worker.onGangPeerLost(job.id().task(i), attempt);
      }
    }
  }
}
