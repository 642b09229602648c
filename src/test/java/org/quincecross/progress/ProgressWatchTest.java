package org.quincecross.progress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

class ProgressWatchTest {
  private static final JobId JOB = new JobId("job-1");
  private static final double ESTIMATE_S = 20;
  private static final double ALLOWED_S = 3 * ESTIMATE_S + 60;

  /**
   * A job has stalled when its number of done tasks last grew longer ago than allowed, whatever its
   * number of running tasks.
   */
  @Property(tries = 300, seed = "41")
  void jobStallsWithoutCompletedTasks(
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 30) Integer> gaps,
      @ForAll @IntRange(min = 0, max = 9) int running) {
    ProgressWatch watch = new ProgressWatch();
    double now = 0;
    double lastProgressS = 0;
    int done = 0;
    watch.update(List.of(status(false, done, running)), at(now));
    for (int gap : gaps) {
      now += gap;
      if (gap % 7 == 6) {
        done++;
        lastProgressS = now;
      }
      List<ProgressWatch.Stall> stalls =
          watch.update(List.of(status(false, done, (running + gap) % 9)), at(now));
      List<ProgressWatch.Stall> expected =
          now - lastProgressS > ALLOWED_S
              ? List.of(new ProgressWatch.Stall(JOB, at(lastProgressS)))
              : List.of();
      assertEquals(expected, stalls, "at " + now);
    }
  }

  /** A service makes progress as long as all of its replicas run. */
  @Property(tries = 50, seed = "42")
  void serviceStallsWhenReplicasAreMissing(@ForAll @IntRange(min = 0, max = 3) int running) {
    ProgressWatch watch = new ProgressWatch();
    for (int second = 0; second <= 200; second += 10) {
      boolean stalled = !watch.update(List.of(status(true, 0, running)), at(second)).isEmpty();
      assertEquals(running < 3 && second > ALLOWED_S, stalled, "at " + second);
    }
    assertEquals(0, watch.update(List.of(status(true, 0, 3)), at(210)).size());
  }

  private static ProgressWatch.JobStatus status(boolean service, int done, int running) {
    return new ProgressWatch.JobStatus(
        JOB, service, TimeSpan.ofSeconds(ESTIMATE_S), service ? 3 : 100, done, running);
  }

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime(TimeSpan.ofSeconds(seconds).nanos());
  }
}
