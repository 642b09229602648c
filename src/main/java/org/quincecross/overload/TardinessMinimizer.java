package org.quincecross.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.quincecross.model.JobId;

/**
 * Selects the jobs that can be served in time, minimising the number of late jobs. Moore's
 * algorithm in Hodgson's form ("An n job, one machine sequencing algorithm for minimizing the
 * number of late jobs", Management Science 15, 1968): take jobs by due time, and whenever one would
 * be late, drop the largest job taken so far. Jobs of many tasks are divisible, so all machines
 * together count as the algorithm's single machine. A dropped job is tried again with its next
 * deadline; without one it is late.
 */
final class TardinessMinimizer {
  /** A job scheduled for one of its deadlines. */
  private record Attempt(AdmissionCandidate job, int deadlineIndex, double latestStartS) {}

  private static final Comparator<Attempt> BY_DUE =
      Comparator.comparingDouble(Attempt::latestStartS)
          .thenComparing(each -> each.job.accepted())
          .thenComparing(each -> each.job.id());
  private static final Comparator<Attempt> LARGEST_FIRST =
      Comparator.comparingDouble((Attempt each) -> -each.job.work())
          .thenComparing(BY_DUE.reversed());

  private final double rate;
  private final Map<JobId, Double> dueS = new HashMap<>();
  private final List<AdmissionCandidate> lateJobs = new ArrayList<>();
  private double backlogS;
  private boolean fits = true;

  /**
   * @param rate work done per second, as a share of all capacity
   */
  TardinessMinimizer(double rate) {
    this.rate = rate;
  }

  /** Adds the jobs of one priority, after those of all higher priorities. */
  void add(List<AdmissionCandidate> jobs) {
    PriorityQueue<Attempt> toTry = new PriorityQueue<>(BY_DUE);
    for (AdmissionCandidate job : jobs) {
      scheduleNextDeadline(job, -1, Double.NEGATIVE_INFINITY, toTry);
    }
    PriorityQueue<Attempt> accepted = new PriorityQueue<>(LARGEST_FIRST);
    while (!toTry.isEmpty()) {
      Attempt attempt = toTry.poll();
      accepted.add(attempt);
      dueS.put(attempt.job.id(), attempt.job.deadlines().get(attempt.deadlineIndex).remainingS());
      backlogS += attempt.job.work() / rate;
      while (backlogS > attempt.latestStartS && !accepted.isEmpty()) {
        Attempt largest = accepted.poll();
        fits = false;
        backlogS -= largest.job.work() / rate;
        dueS.remove(largest.job.id());
        scheduleNextDeadline(largest.job, largest.deadlineIndex, attempt.latestStartS, toTry);
      }
    }
  }

  /** Returns the seconds until all work that can be served in time has started. */
  double backlogS() {
    return backlogS;
  }

  /**
   * Whether no job was dropped for lack of capacity. Jobs that are late already, or could not be
   * served on an idle cluster either, do not count.
   */
  boolean fits() {
    return fits;
  }

  /**
   * Schedules a job for its next deadline after the one tried last. Without any it is late, unless
   * it has no deadlines at all.
   */
  private void scheduleNextDeadline(
      AdmissionCandidate job, int lastIndex, double afterS, PriorityQueue<Attempt> toTry) {
    for (int i = lastIndex + 1; i < job.deadlines().size(); i++) {
      double latestStartS = job.latestLastStartS(job.deadlines().get(i));
      if (latestStartS > Math.max(0, afterS)) {
        toTry.add(new Attempt(job, i, latestStartS));
        return;
      }
    }
    if (!job.deadlines().isEmpty()) {
      lateJobs.add(job);
    }
  }

  /** Returns the seconds until the deadline that a job is served for, or null if it meets none. */
  Double dueS(JobId job) {
    return dueS.get(job);
  }

  /** Returns the jobs with deadlines that meet none of them. */
  List<AdmissionCandidate> lateJobs() {
    return lateJobs;
  }
}
