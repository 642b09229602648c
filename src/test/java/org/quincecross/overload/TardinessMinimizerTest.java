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
  static AdmissionCandidate pendingJob(int number, double work, JobDeadline... goals) {
    return new AdmissionCandidate(
        new JobId("job-" + number),
        new AdmissionCandidate.Group("t", "c"),
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
  static Arbitrary<List<AdmissionCandidate>> claims() {
    Arbitrary<AdmissionCandidate> each =
        Combinators.combine(
                Arbitraries.integers().between(1, 20), Arbitraries.integers().between(1, 40))
            .as((work, due) -> pendingJob(0, work, new JobDeadline(due, true)));
    return each.list()
        .ofMinSize(1)
        .ofMaxSize(9)
        .map(
            list -> {
              List<AdmissionCandidate> numbered = new ArrayList<>();
              for (AdmissionCandidate job : list) {
                numbered.add(pendingJob(numbered.size() + 1, job.work(), job.deadlines().get(0)));
              }
              return numbered;
            });
  }

  private static boolean allInTime(List<AdmissionCandidate> jobs) {
    double busy = 0;
    for (AdmissionCandidate job :
        jobs.stream()
            .sorted(Comparator.comparingDouble(each -> each.deadlines().get(0).remainingS()))
            .toList()) {
      busy += job.work();
      if (busy > job.deadlines().get(0).remainingS()) {
        return false;
      }
    }
    return true;
  }

  /**
   * All selected jobs can be served in time, and no other choice of jobs selects more; compared
   * with every choice.
   */
  @Property(tries = 300, seed = "5")
  void selectsTheMostJobs(@ForAll("claims") List<AdmissionCandidate> jobs) {
    TardinessMinimizer schedule = new TardinessMinimizer(1);
    schedule.add(jobs);
    List<AdmissionCandidate> selected =
        jobs.stream().filter(job -> schedule.dueS(job.id()) != null).toList();
    assertTrue(allInTime(selected));
    assertEquals(jobs.size(), selected.size() + schedule.lateJobs().size());
    assertEquals(schedule.lateJobs().isEmpty(), schedule.fits());
    int most = 0;
    for (int choice = 0; choice < 1 << jobs.size(); choice++) {
      List<AdmissionCandidate> chosen = new ArrayList<>();
      for (int i = 0; i < jobs.size(); i++) {
        if ((choice >> i & 1) == 1) {
          chosen.add(jobs.get(i));
        }
      }
      if (chosen.size() > most && allInTime(chosen)) {
        most = chosen.size();
      }
    }
    assertEquals(most, selected.size());
  }

  /**
   * A dropped job is tried with its next deadline; a lower priority comes after all of a higher
   * one.
   */
  @Example
  void triesTheNextDeadline() {
    TardinessMinimizer schedule = new TardinessMinimizer(0.5);
    AdmissionCandidate large =
        pendingJob(1, 20, new JobDeadline(45, true), new JobDeadline(90, true));
    AdmissionCandidate small = pendingJob(2, 5, new JobDeadline(45, true));
    schedule.add(List.of(large, small));
    assertEquals(45, schedule.dueS(small.id()));
    assertEquals(90, schedule.dueS(large.id()));
    assertTrue(!schedule.fits());
    AdmissionCandidate lower = pendingJob(3, 5, new JobDeadline(59, true));
    schedule.add(List.of(lower));
    assertNull(schedule.dueS(lower.id()));
    assertEquals(List.of(lower), schedule.lateJobs());
    assertEquals(50, schedule.backlogS());
  }

  /** A job that is late in any case, or has no deadline, is no sign of an overload. */
  @Example
  void ignoresJobsThatAreLateInAnyCase() {
    TardinessMinimizer schedule = new TardinessMinimizer(1);
    AdmissionCandidate alreadyLate = pendingJob(1, 1, new JobDeadline(-5, false));
    AdmissionCandidate withoutDeadline = pendingJob(2, 1000);
    schedule.add(List.of(alreadyLate, withoutDeadline));
    assertEquals(List.of(alreadyLate), schedule.lateJobs());
    assertTrue(schedule.fits());
  }
}
