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
 * Which tasks already run for which request. Jobs do not name a request: those of its lane accepted
 * after it was recorded are taken to be for it. Where one job could be for several, it is for the
 * newest, which has the fewest others to choose from: so as many tasks as possible find their
 * request, in one pass.
 */
final class Uses {
  /** Newest first. */
  static final Comparator<Request> NEWEST =
      Comparator.comparing(Request::recordedMs).reversed().thenComparing(Request::reference);

  private final Map<String, Map<String, Integer>> byReference = new HashMap<>();

  Uses(Map<String, NavigableSet<Request>> byLane, Collection<Taken> taken) {
    Map<String, List<Taken>> jobs = new HashMap<>();
    for (Taken job : taken) {
      if (byLane.containsKey(job.lane())) {
        jobs.computeIfAbsent(job.lane(), lane -> new ArrayList<>()).add(job);
      }
    }
    jobs.forEach(
        (lane, of) -> {
          of.sort(Comparator.comparing(Taken::acceptedMs).reversed());
          match(byLane.get(lane), of);
        });
  }

  private void match(NavigableSet<Request> newestFirst, List<Taken> jobs) {
    Map<String, Integer> unmatched = new TreeMap<>();
    int next = 0;
    for (Request request : newestFirst) {
      for (; next < jobs.size() && jobs.get(next).acceptedMs() >= request.recordedMs(); next++) {
        jobs.get(next).zones().forEach((zone, tasks) -> unmatched.merge(zone, tasks, Integer::sum));
      }
      Map<String, Integer> used = take(request, unmatched);
      if (!used.isEmpty()) {
        byReference.put(request.reference(), used);
      }
    }
  }

  /**
   * What of {@code unmatched} is for a request: first where it has room reserved, then wherever it
   * may be.
   */
  private static Map<String, Integer> take(Request request, Map<String, Integer> unmatched) {
    Map<String, Integer> used = new TreeMap<>();
    int left = request.need().tasks();
    for (boolean where : new boolean[] {true, false}) {
      for (Map.Entry<String, Integer> zone : unmatched.entrySet()) {
        int most =
            where
                ? request.zones().getOrDefault(zone.getKey(), 0)
                : request.need().allows(zone.getKey()) ? left : 0;
        int tasks = Math.min(Math.min(left, most), zone.getValue());
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

  /** How many tasks of a request are in each zone. */
  Map<String, Integer> of(Request request) {
    return byReference.getOrDefault(request.reference(), Map.of());
  }

  /** How much of a reservation is not used yet, by zone. */
  Map<String, Integer> unused(Request request) {
    Map<String, Integer> used = of(request);
    if (used.isEmpty()) {
      return request.zones();
    }
    Map<String, Integer> unused = new TreeMap<>(request.zones());
    int elsewhere = 0;
    for (Map.Entry<String, Integer> zone : used.entrySet()) {
      int here = Math.min(zone.getValue(), unused.getOrDefault(zone.getKey(), 0));
      unused.merge(zone.getKey(), -here, Integer::sum);
      elsewhere += zone.getValue() - here;
    }
    for (; elsewhere > 0; elsewhere--) {
      String most = null;
      for (Map.Entry<String, Integer> zone : unused.entrySet()) {
        most = zone.getValue() > (most == null ? 0 : unused.get(most)) ? zone.getKey() : most;
      }
      if (most == null) {
        break;
      }
      unused.merge(most, -1, Integer::sum);
    }
    unused.values().removeIf(tasks -> tasks <= 0);
    return unused;
  }
}
