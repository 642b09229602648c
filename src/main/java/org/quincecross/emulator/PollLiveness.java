package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;

/**
 * Records when requests about each accepted job were answered. After all faults have ended, a job
 * without an answer for 75 s counts as forgotten.
 */
final class PollLiveness {
  static final double FORGOTTEN_AFTER_S = 75;

  /** The time of the last answer, and the longest completed interval without one. */
  private record AnswerGap(double lastS, double longestS) {
    AnswerGap answered(double now) {
      return new AnswerGap(now, Math.max(longestS, now - lastS));
    }
  }

  private final Clock clock;
  private final Map<JobId, AnswerGap> jobs = new HashMap<>();

  PollLiveness(Clock clock) {
    this.clock = clock;
  }

  /** Faults may continue until now: earlier intervals do not count. */
  void onFault() {
    jobs.replaceAll((id, asked) -> new AnswerGap(clock.seconds(), 0));
  }

  void accepted(JobId id) {
    jobs.putIfAbsent(id, new AnswerGap(clock.seconds(), 0));
  }

  void answered(JobId id) {
    jobs.computeIfPresent(id, (job, asked) -> asked.answered(clock.seconds()));
  }

  /**
   * The longest interval without an answer for a job, in seconds; up to now if {@code open}, else
   * up to its last answer.
   */
  double longestGapS(JobId id, boolean open) {
    AnswerGap asked = jobs.get(id);
    return asked == null ? 0 : open ? asked.answered(clock.seconds()).longestS() : asked.longestS();
  }

  /** The forgotten jobs; {@code open} are those that users still ask about. */
  List<JobId> forgotten(Set<JobId> open) {
    List<JobId> forgotten = new ArrayList<>();
    for (JobId id : jobs.keySet()) {
      if (longestGapS(id, open.contains(id)) > FORGOTTEN_AFTER_S) {
        forgotten.add(id);
      }
    }
    return forgotten;
  }
}
