package org.quincecross.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.quincecross.model.JobId;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;

class TardinessMinimizerTest {
  static DemandClaim claim(int number, double work, Milestone... goals) {
    return new DemandClaim(
        new JobId("job-" + number),
        new DemandClaim.Group("t", "c"),
        Priority.NORMAL,
        false,
        new Revision(number),
        1,
        true,
        work,
        0,
        0,
        List.of(goals));
  }

  @Provide
  static Arbitrary<List<DemandClaim>> claims() {
    Arbitrary<DemandClaim> each =
        Combinators.combine(
                Arbitraries.integers().between(1, 20), Arbitraries.integers().between(1, 40))
            .as((work, due) -> claim(0, work, new Milestone(due, true)));
    return each.list()
        .ofMinSize(1)
        .ofMaxSize(9)
        .map(
            list -> {
              List<DemandClaim> numbered = new ArrayList<>();
              for (DemandClaim claim : list) {
                numbered.add(claim(numbered.size() + 1, claim.work(), claim.goals().get(0)));
              }
              return numbered;
            });
  }

  private static boolean allInTime(List<DemandClaim> claims) {
    double busy = 0;
    for (DemandClaim claim :
        claims.stream()
            .sorted(Comparator.comparingDouble(each -> each.goals().get(0).leftS()))
            .toList()) {
      busy += claim.work();
      if (busy > claim.goals().get(0).leftS()) {
        return false;
      }
    }
    return true;
  }

  /**
   * What is kept can all be done in time, and no choice of jobs would keep more: compared with all
   * choices.
   */
  @Property(tries = 300, seed = "5")
  void noChoiceKeepsMore(@ForAll("claims") List<DemandClaim> claims) {
    TardinessMinimizer inTime = new TardinessMinimizer(1);
    inTime.take(claims);
    List<DemandClaim> kept =
        claims.stream().filter(claim -> inTime.dueS(claim.id()) != null).toList();
    assertTrue(allInTime(kept));
    assertEquals(claims.size(), kept.size() + inTime.dropped().size());
    assertEquals(inTime.dropped().isEmpty(), inTime.fits());
    int most = 0;
    for (int choice = 0; choice < 1 << claims.size(); choice++) {
      List<DemandClaim> chosen = new ArrayList<>();
      for (int i = 0; i < claims.size(); i++) {
        if ((choice >> i & 1) == 1) {
          chosen.add(claims.get(i));
        }
      }
      if (chosen.size() > most && allInTime(chosen)) {
        most = chosen.size();
      }
    }
    assertEquals(most, kept.size());
  }

  /**
   * A job that is left out is served for its next goal; what is of lower priority comes after all
   * of a higher one.
   */
  @Example
  void triesTheNextGoal() {
    TardinessMinimizer inTime = new TardinessMinimizer(0.5);
    DemandClaim large = claim(1, 20, new Milestone(45, true), new Milestone(90, true));
    DemandClaim small = claim(2, 5, new Milestone(45, true));
    inTime.take(List.of(large, small));
    assertEquals(45, inTime.dueS(small.id()));
    assertEquals(90, inTime.dueS(large.id()));
    assertTrue(!inTime.fits());
    DemandClaim lower = claim(3, 5, new Milestone(59, true));
    inTime.take(List.of(lower));
    assertNull(inTime.dueS(lower.id()));
    assertEquals(List.of(lower), inTime.dropped());
    assertEquals(50, inTime.busyS());
  }

  /** What nobody could do, or what nobody waits for, says nothing of how much there is to do. */
  @Example
  void whatIsLateAnywayIsNoSignOfTooMuch() {
    TardinessMinimizer inTime = new TardinessMinimizer(1);
    DemandClaim hopeless = claim(1, 1, new Milestone(-5, false));
    DemandClaim patient = claim(2, 1000);
    inTime.take(List.of(hopeless, patient));
    assertEquals(List.of(hopeless), inTime.dropped());
    assertTrue(inTime.fits());
  }
}
