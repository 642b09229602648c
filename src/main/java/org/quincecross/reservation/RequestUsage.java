package org.quincecross.reservation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;

/**
 * Which running tasks count towards which request. Jobs do not name a request: the jobs of its
 * class accepted after it was recorded are attributed to it. A job that matches several requests is
 * attributed to the newest, which has the fewest other jobs to choose from. This attributes as many
 * tasks as possible, in one pass.
 */
final class RequestUsage {
  /** Newest first. */
  static final Comparator<DeadlineRequest> NEWEST =
      Comparator.comparing(DeadlineRequest::recordedMs)
          .reversed()
          .thenComparing(DeadlineRequest::reference);

  private final Map<String, Map<String, Integer>> byReference = new HashMap<>();

  RequestUsage(Map<String, NavigableSet<DeadlineRequest>> byJobClass, Collection<RunningJob> jobs) {
    Map<String, List<RunningJob>> jobsByClass = new HashMap<>();
    for (RunningJob job : jobs) {
      if (byJobClass.containsKey(job.jobClass())) {
        jobsByClass.computeIfAbsent(job.jobClass(), jobClass -> new ArrayList<>()).add(job);
      }
    }
    jobsByClass.forEach(
        (jobClass, jobsOfClass) -> {
          jobsOfClass.sort(Comparator.comparing(RunningJob::acceptedMs).reversed());
          match(byJobClass.get(jobClass), jobsOfClass);
        });
  }

  private void match(NavigableSet<DeadlineRequest> newestFirst, List<RunningJob> jobs) {
    Map<String, Integer> unmatched = new TreeMap<>();
    int next = 0;
    for (DeadlineRequest request : newestFirst) {
      for (; next < jobs.size() && jobs.get(next).acceptedMs() >= request.recordedMs(); next++) {
        jobs.get(next).zones().forEach((zone, tasks) -> unmatched.merge(zone, tasks, Integer::sum));
      }
      Map<String, Integer> used = attribute(request, unmatched);
      if (!used.isEmpty()) {
        byReference.put(request.reference(), used);
      }
    }
  }

  /**
   * Returns the tasks of {@code unmatched} that count towards a request: first in the zones of its
   * reservation, then in any allowed zone.
   */
  private static Map<String, Integer> attribute(
      DeadlineRequest request, Map<String, Integer> unmatched) {
    Map<String, Integer> used = new TreeMap<>();
    int left = request.need().tasks();
    for (boolean reservedZonesOnly : new boolean[] {true, false}) {
      for (Map.Entry<String, Integer> zone : unmatched.entrySet()) {
        int max =
            reservedZonesOnly
                ? request.zones().getOrDefault(zone.getKey(), 0)
                : request.need().allows(zone.getKey()) ? left : 0;
        int tasks = Math.min(Math.min(left, max), zone.getValue());
        if (tasks > 0) {
          used.merge(zone.getKey(), tasks, Integer::sum);
          zone.setValue(zone.getValue() - tasks);
          left -= tasks;
        }
      }
    }
    unmatched.values().removeIf(tasks -> tasks == 0);
    return used;
  }

  /** Returns how many tasks of a request run in each zone. */
  Map<String, Integer> usedByZone(DeadlineRequest request) {
    return byReference.getOrDefault(request.reference(), Map.of());
  }

  /** Returns the unused part of a reservation, by zone. */
  Map<String, Integer> unusedByZone(DeadlineRequest request) {
    Map<String, Integer> used = usedByZone(request);
    if (used.isEmpty()) {
      return request.zones();
    }
    Map<String, Integer> unused = new TreeMap<>(request.zones());
    int elsewhere = 0;
    for (Map.Entry<String, Integer> zone : used.entrySet()) {
      int inZone = Math.min(zone.getValue(), unused.getOrDefault(zone.getKey(), 0));
      unused.merge(zone.getKey(), -inZone, Integer::sum);
      elsewhere += zone.getValue() - inZone;
    }
    for (; elsewhere > 0; elsewhere--) {
      String largest = null;
      for (Map.Entry<String, Integer> zone : unused.entrySet()) {
        largest =
            zone.getValue() > (largest == null ? 0 : unused.get(largest)) ? zone.getKey() : largest;
      }
      if (largest == null) {
        break;
      }
      unused.merge(largest, -1, Integer::sum);
    }
    unused.values().removeIf(tasks -> tasks <= 0);
    return unused;
  }
}
