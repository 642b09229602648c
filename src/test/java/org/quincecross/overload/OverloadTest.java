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

  private static DemandClaim claim(
      int number, String team, Priority priority, int tasks, double ageS, double leftS) {
    return new DemandClaim(
        new JobId("job-" + number),
        new DemandClaim.Group(team, "c"),
        priority,
        false,
        new Revision(number),
        tasks,
        true,
        1,
        0,
        ageS,
        List.of(new Milestone(leftS, true)));
  }

  private Map<JobId, JobRanking> look(List<DemandClaim> claims, double later) {
    now += later;
    return overload.look(claims, time());
  }

  /**
   * It is noticed after a moment, not at the first sign, and left only once all has fitted for a
   * while.
   */
  @Example
  void statesWithHysteresis() {
    List<DemandClaim> much = List.of(claim(1, "t", Priority.NORMAL, 200, 0, 50));
    List<DemandClaim> little = List.of(claim(1, "t", Priority.NORMAL, 10, 0, 50));
    look(little, 1);
    assertEquals(Overload.State.CALM, overload.state());
    look(much, 1);
    assertEquals(Overload.State.STRAINED, overload.state());
    look(little, 1);
    assertEquals(Overload.State.CALM, overload.state());
    look(much, 1);
    look(much, 2);
    assertEquals(Overload.State.STRAINED, overload.state());
    look(much, 2);
    assertEquals(Overload.State.OVERLOADED, overload.state());
    assertEquals(1, overload.setAside());
    look(little, 1);
    look(little, 14);
    assertEquals(Overload.State.EASING, overload.state());
    look(much, 1);
    assertEquals(Overload.State.OVERLOADED, overload.state());
    look(little, 1);
    look(little, 16);
    assertEquals(Overload.State.CALM, overload.state());
    assertEquals(0, overload.setAside());
  }

  /**
   * A fleet that does one unit of work a second, however it is ordered, with a stream of small jobs
   * that takes all of it: a low priority and a large job get their parts all the same, and no group
   * gets less than its floor.
   */
  @Property(tries = 20, seed = "3")
  void everybodyIsServedInTheEnd(@ForAll @IntRange(min = 0, max = 9) int offset) {
    Map<Integer, DemandClaim> waiting = new HashMap<>();
    Map<String, Double> done = new HashMap<>();
    int number = 10;
    waiting.put(1, claim(1, "low", Priority.LOW, 10_000, offset, 50));
    waiting.put(2, claim(2, "busy", Priority.NORMAL, 10_000, offset, 50));
    double seconds = 600;
    for (int second = 0; second < seconds; second++) {
      for (int i = 0; i < 2; i++) {
        waiting.put(++number, claim(number, "busy", Priority.NORMAL, 1, 0, 40));
      }
      List<DemandClaim> claims = new ArrayList<>();
      for (Map.Entry<Integer, DemandClaim> each : waiting.entrySet()) {
        DemandClaim claim = each.getValue();
        double age = claim.ageS() + 1;
        each.setValue(
            new DemandClaim(
                claim.id(),
                claim.group(),
                claim.priority(),
                false,
                claim.accepted(),
                claim.tasks(),
                true,
                1,
                0,
                age,
                List.of(new Milestone(claim.goals().get(0).leftS() - 1, true))));
        claims.add(each.getValue());
      }
      Map<JobId, JobRanking> verdicts = look(claims, 1);
      // As admission orders: turns, then priority, then what is in time, by its due time.
      claims.sort(
          (one, other) -> {
            JobRanking a = verdicts.get(one.id());
            JobRanking b = verdicts.get(other.id());
            int byTurn = Boolean.compare(b.turn() > 0, a.turn() > 0);
            int byRank = other.priority().compareTo(one.priority());
            int byStanding = a.standing().compareTo(b.standing());
            return byTurn != 0
                ? byTurn
                : byRank != 0
                    ? byRank
                    : byStanding != 0 ? byStanding : Double.compare(a.order(), b.order());
          });
      DemandClaim first = claims.get(0);
      int index = Integer.parseInt(first.id().text().substring(4));
      overload.given(first.id(), 1);
      done.merge(index <= 2 ? first.group().team() + " large" : "small", 1.0, Double::sum);
      if (first.tasks() == 1) {
        waiting.remove(index);
      } else {
        waiting.put(
            index,
            new DemandClaim(
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
                first.goals()));
      }
    }
    assertEquals(Overload.State.OVERLOADED, overload.state());
    // Each of two groups is sure of half of the floor; what was set aside of its turns: the low one
    // is older or as old.
    assertTrue(done.get("low large") >= 0.9 * seconds * SHARES.floor() / 2, done.toString());
    assertTrue(
        done.get("low large") + done.getOrDefault("busy large", 0.0)
            >= 0.9 * seconds * SHARES.turns(),
        done.toString());
    assertTrue(done.get("small") >= 0.7 * seconds, done.toString());
  }

  /** Under another leader it begins anew, but what has waited long has its turn at once. */
  @Example
  void whatWaitedUnderAnotherLeaderIsNotYoungAgain() {
    List<DemandClaim> claims = new ArrayList<>();
    for (int i = 10; i < 200; i++) {
      claims.add(claim(i, "busy", Priority.NORMAL, 1, 1, 60));
    }
    claims.add(claim(1, "low", Priority.LOW, 50, 300, -200));
    look(claims, 0);
    look(claims, 4);
    JobRanking old = look(claims, 0.1).get(new JobId("job-1"));
    assertTrue(old.turn() > 0);
    Overload other = new Overload(SHARES);
    claims.set(claims.size() - 1, claim(1, "low", Priority.LOW, 50, 0, 60));
    other.look(claims, time());
    now += 4;
    other.look(claims, time());
    now += 0.1;
    assertTrue(other.look(claims, time()).get(new JobId("job-1")).turn() < old.turn());
  }

  /** What was seen counts more than what is assumed, the longer the more. */
  @Example
  void theFlowIsWhatIsSeen() {
    ArrivalRate flow = new ArrivalRate();
    assertEquals(0.8, flow.rate(0.8));
    for (int i = 0; i < 100; i++) {
      flow.pass(1);
      flow.add(0.5);
    }
    assertEquals(0.5, flow.rate(0.8), 0.03);
    flow.forget();
    assertEquals(0.8, flow.rate(0.8));
  }
}
