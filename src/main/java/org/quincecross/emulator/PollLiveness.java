package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;

/**
 * When each accepted job's questions were answered: a job about which none is for 75 s, once all
 * troubles are over, is forgotten.
 */
final class PollLiveness {
  static final double FORGOTTEN_AFTER_S = 75;

  /** The last answer, and the longest time without any that has ended. */
  private record Asked(double lastS, double longestS) {
    Asked answered(double now) {
      return new Asked(now, Math.max(longestS, now - lastS));
    }
  }

  private final Clock clock;
  private final Map<JobId, Asked> jobs = new HashMap<>();

  PollLiveness(Clock clock) {
    this.clock = clock;
  }

  /** Troubles end now at the earliest: what came before is not counted. */
  void trouble() {
    jobs.replaceAll((id, asked) -> new Asked(clock.seconds(), 0));
  }

  void accepted(JobId id) {
    jobs.putIfAbsent(id, new Asked(clock.seconds(), 0));
  }

  void answered(JobId id) {
    jobs.computeIfPresent(id, (job, asked) -> asked.answered(clock.seconds()));
  }

  /**
   * The longest that a job went without an answer, in seconds; up to now if {@code open}, else up
   * to its last answer.
   */
  double longest(JobId id, boolean open) {
    Asked asked = jobs.get(id);
    return asked == null ? 0 : open ? asked.answered(clock.seconds()).longestS() : asked.longestS();
  }

  /** The jobs that are forgotten; {@code open}: those that are still asked about. */
  List<JobId> forgotten(Set<JobId> open) {
    List<JobId> forgotten = new ArrayList<>();
    for (JobId id : jobs.keySet()) {
      if (longest(id, open.contains(id)) > FORGOTTEN_AFTER_S) {
        forgotten.add(id);
      }
    }
    return forgotten;
  }
}
