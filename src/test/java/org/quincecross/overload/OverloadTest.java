package org.quincecross.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;

class OverloadTest {
  private static final Shares SHARES = new Shares(1, 0, 0.1, 0.1);
  private final Overload overload = new Overload(SHARES);
  private double now = 100;

  private MonotonicTime time() {
    return new MonotonicTime((long) (now * 1e9));
  }

  private static AdmissionCandidate pendingJob(
      int number, String team, Priority priority, int tasks, double ageS, double leftS) {
    return new AdmissionCandidate(
        new JobId("job-" + number),
        new AdmissionCandidate.Group(team, "c"),
        priority,
        false,
        new Revision(number),
        tasks,
        true,
        1,
        0,
        ageS,
        List.of(new JobDeadline(leftS, true)));
  }

  private Map<JobId, JobRanking> rank(List<AdmissionCandidate> jobs, double elapsedS) {
    now += elapsedS;
    return overload.rank(jobs, time());
  }

  /**
   * An overload is detected after a delay, not at the first sign, and ends only after all work has
   * fitted for a while.
   */
  @Example
  void changesStateWithHysteresis() {
    List<AdmissionCandidate> tooMuch = List.of(pendingJob(1, "t", Priority.NORMAL, 200, 0, 50));
    List<AdmissionCandidate> little = List.of(pendingJob(1, "t", Priority.NORMAL, 10, 0, 50));
    rank(little, 1);
    assertEquals(Overload.State.CALM, overload.state());
    rank(tooMuch, 1);
    assertEquals(Overload.State.STRAINED, overload.state());
    rank(little, 1);
    assertEquals(Overload.State.CALM, overload.state());
    rank(tooMuch, 1);
    rank(tooMuch, 2);
    assertEquals(Overload.State.STRAINED, overload.state());
    rank(tooMuch, 2);
    assertEquals(Overload.State.OVERLOADED, overload.state());
    assertEquals(1, overload.deferredJobs());
    rank(little, 1);
    rank(little, 14);
    assertEquals(Overload.State.EASING, overload.state());
    rank(tooMuch, 1);
    assertEquals(Overload.State.OVERLOADED, overload.state());
    rank(little, 1);
    rank(little, 16);
    assertEquals(Overload.State.CALM, overload.state());
    assertEquals(0, overload.deferredJobs());
  }

  /**
   * A cluster completes one unit of work a second while a stream of small jobs demands all of it: a
   * low-priority job and a large job still receive their shares, and no group gets less than its
   * floor.
   */
  @Property(tries = 20, seed = "3")
  void servesEveryGroupItsFloor(@ForAll @IntRange(min = 0, max = 9) int offset) {
    Map<Integer, AdmissionCandidate> waiting = new HashMap<>();
    Map<String, Double> done = new HashMap<>();
    int number = 10;
    waiting.put(1, pendingJob(1, "low", Priority.LOW, 10_000, offset, 50));
    waiting.put(2, pendingJob(2, "busy", Priority.NORMAL, 10_000, offset, 50));
    double seconds = 600;
    for (int second = 0; second < seconds; second++) {
      for (int i = 0; i < 2; i++) {
        waiting.put(++number, pendingJob(number, "busy", Priority.NORMAL, 1, 0, 40));
      }
      List<AdmissionCandidate> jobs = new ArrayList<>();
      for (Map.Entry<Integer, AdmissionCandidate> each : waiting.entrySet()) {
        AdmissionCandidate job = each.getValue();
        double age = job.ageS() + 1;
        each.setValue(
            new AdmissionCandidate(
                job.id(),
                job.group(),
                job.priority(),
                false,
                job.accepted(),
                job.tasks(),
                true,
                1,
                0,
                age,
                List.of(new JobDeadline(job.deadlines().get(0).remainingS() - 1, true))));
        jobs.add(each.getValue());
      }
      Map<JobId, JobRanking> rankings = rank(jobs, 1);
      // The admission order: turns, then priority, then standing, then the order key.
      jobs.sort(
          (one, other) -> {
            JobRanking a = rankings.get(one.id());
            JobRanking b = rankings.get(other.id());
            int byTurn = Boolean.compare(b.turn() > 0, a.turn() > 0);
            int byRank = other.priority().compareTo(one.priority());
            int byStanding = a.standing().compareTo(b.standing());
            return byTurn != 0
                ? byTurn
                : byRank != 0
                    ? byRank
                    : byStanding != 0 ? byStanding : Double.compare(a.order(), b.order());
          });
      AdmissionCandidate first = jobs.get(0);
      int index = Integer.parseInt(first.id().text().substring(4));
      overload.admitted(first.id(), 1);
      done.merge(index <= 2 ? first.group().team() + " large" : "small", 1.0, Double::sum);
      if (first.tasks() == 1) {
        waiting.remove(index);
      } else {
        waiting.put(
            index,
            new AdmissionCandidate(
                first.id(),
                first.group(),
                first.priority(),
                false,
                first.accepted(),
                first.tasks() - 1,
                true,
                1,
                0,
                first.ageS(),
                first.deadlines()));
      }
    }
    assertEquals(Overload.State.OVERLOADED, overload.state());
    // Each of the two groups is guaranteed half of the floor, and deferred work the deferred share;
    // the low-priority job is the oldest deferred work or as old.
    assertTrue(done.get("low large") >= 0.9 * seconds * SHARES.floor() / 2, done.toString());
    assertTrue(
        done.get("low large") + done.getOrDefault("busy large", 0.0)
            >= 0.9 * seconds * SHARES.deferred(),
        done.toString());
    assertTrue(done.get("small") >= 0.7 * seconds, done.toString());
  }

  /**
   * Under a new leader the state starts afresh, but jobs that have waited long get their turn at
   * once.
   */
  @Example
  void creditsJobsThatWaitedUnderPreviousLeader() {
    List<AdmissionCandidate> jobs = new ArrayList<>();
    for (int i = 10; i < 200; i++) {
      jobs.add(pendingJob(i, "busy", Priority.NORMAL, 1, 1, 60));
    }
    jobs.add(pendingJob(1, "low", Priority.LOW, 50, 300, -200));
    rank(jobs, 0);
    rank(jobs, 4);
    JobRanking old = rank(jobs, 0.1).get(new JobId("job-1"));
    assertTrue(old.turn() > 0);
    Overload other = new Overload(SHARES);
    jobs.set(jobs.size() - 1, pendingJob(1, "low", Priority.LOW, 50, 0, 60));
    other.rank(jobs, time());
    now += 4;
    other.rank(jobs, time());
    now += 0.1;
    assertTrue(other.rank(jobs, time()).get(new JobId("job-1")).turn() < old.turn());
  }

  /** The observed rate replaces the assumed one gradually. */
  @Example
  void observedRateReplacesAssumedRate() {
    DecayingRate rate = new DecayingRate();
    assertEquals(0.8, rate.rate(0.8));
    for (int i = 0; i < 100; i++) {
      rate.advance(1);
      rate.add(0.5);
    }
    assertEquals(0.5, rate.rate(0.8), 0.03);
    rate.reset();
    assertEquals(0.8, rate.rate(0.8));
  }
}
