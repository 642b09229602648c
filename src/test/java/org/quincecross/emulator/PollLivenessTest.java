package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quincecross.model.JobId;

/**
 * A job without an answer for 75 s is reported, whatever happens to other jobs, and whether or not
 * it is answered later.
 */
class PollLivenessTest {
  @Test
  void reportsJobWithoutAnswers() {
    VirtualTime time = new VirtualTime();
    PollLiveness polls = new PollLiveness(time);
    JobId answered = new JobId("job-1");
    JobId late = new JobId("job-2");
    JobId never = new JobId("job-3");
    JobId over = new JobId("job-4");
    Set<JobId> all = Set.of(answered, late, never, over);
    all.forEach(polls::accepted);
    time.runUntil(100);
    polls.onFault();
    for (int at = 105; at <= 300; at += 5) {
      time.runUntil(at);
      polls.answered(answered);
      if (at >= 180) {
        polls.answered(late);
      }
    }
    assertEquals(Set.of(late, never), Set.copyOf(polls.forgotten(Set.of(answered, late, never))));
    assertEquals(List.of(late), polls.forgotten(Set.of(answered)));
  }
}
