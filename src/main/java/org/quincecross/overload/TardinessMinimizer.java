package org.quincecross.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.quincecross.model.JobId;

/**
 * Which jobs can still be served in time, so that as few as can be are late. J. M. Moore's rule, as
 * stated by Hodgson ("An n job, one machine sequencing algorithm for minimizing the number of late
 * jobs", Management Science 15, 1968): take the jobs by due time; whenever one would be late, leave
 * out the largest of those taken so far. Jobs of many tasks are divisible, so all machines together
 * are the rule's one machine. A job that is left out tries again with its next goal, if it has one;
 * if not, it is set aside.
 */
final class TardinessMinimizer {
  /** A job with one of its goals. */
  private record Attempt(DemandClaim claim, int goal, double startsInS) {}

  private static final Comparator<Attempt> BY_DUE =
      Comparator.comparingDouble(Attempt::startsInS)
          .thenComparing(each -> each.claim.accepted())
          .thenComparing(each -> each.claim.id());
  private static final Comparator<Attempt> LARGEST_FIRST =
      Comparator.comparingDouble((Attempt each) -> -each.claim.work())
          .thenComparing(BY_DUE.reversed());

  private final double rate;
  private final Map<JobId, Double> dueS = new HashMap<>();
  private final List<DemandClaim> dropped = new ArrayList<>();
  private double busyS;
  private boolean fits = true;

  /**
   * @param rate how much work is done in a second, as a part of all room
   */
  TardinessMinimizer(double rate) {
    this.rate = rate;
  }

  /** Takes the jobs of one priority, after those of the priorities above it have been taken. */
  void take(List<DemandClaim> claims) {
    PriorityQueue<Attempt> toTry = new PriorityQueue<>(BY_DUE);
    for (DemandClaim claim : claims) {
      next(claim, -1, Double.NEGATIVE_INFINITY, toTry);
    }
    PriorityQueue<Attempt> taken = new PriorityQueue<>(LARGEST_FIRST);
    while (!toTry.isEmpty()) {
      Attempt attempt = toTry.poll();
      taken.add(attempt);
      dueS.put(attempt.claim.id(), attempt.claim.goals().get(attempt.goal).leftS());
      busyS += attempt.claim.work() / rate;
      while (busyS > attempt.startsInS && !taken.isEmpty()) {
        Attempt largest = taken.poll();
        fits = false;
        busyS -= largest.claim.work() / rate;
        dueS.remove(largest.claim.id());
        next(largest.claim, largest.goal, attempt.startsInS, toTry);
      }
    }
  }

  /** Seconds until all work that is to be done in time has started. */
  double busyS() {
    return busyS;
  }

  /**
   * Whether nothing is left out for want of room: what is late already, or asks for what nobody
   * could do, does not count.
   */
  boolean fits() {
    return fits;
  }

  /**
   * Has a job try its next goal that lies beyond what was tried last; one without any is set aside,
   * unless nobody waits for it.
   */
  private void next(DemandClaim claim, int goal, double beyondS, PriorityQueue<Attempt> toTry) {
    for (int i = goal + 1; i < claim.goals().size(); i++) {
      double startsIn = claim.startsIn(claim.goals().get(i));
      if (startsIn > Math.max(0, beyondS)) {
        toTry.add(new Attempt(claim, i, startsIn));
        return;
      }
    }
    if (!claim.goals().isEmpty()) {
      dropped.add(claim);
    }
  }

  /** Seconds until the goal that a job can be served for; null if it can be served for none. */
  Double dueS(JobId job) {
    return dueS.get(job);
  }

  /** The jobs that have goals and can meet none of them. */
  List<DemandClaim> dropped() {
    return dropped;
  }
}
