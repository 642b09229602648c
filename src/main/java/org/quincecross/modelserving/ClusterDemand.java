package org.quincecross.modelserving;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Demand for models over all controllers, as reported to the leader. The last report of an
 * unreachable controller counts until its membership lease expires. A live controller that has not
 * reported yet may have demand, so no model counts as idle until it reports.
 */
public final class ClusterDemand {
  /**
   * Clocks drift by at most a thousandth. Scaling the age of a report by this factor keeps the idle
   * time at or below what any other clock would measure.
   */
  private static final double CLOCK_DRIFT_FACTOR = 0.998;

  /**
   * What a controller reports about a model: requests in flight, and for how long it has seen no
   * demand.
   */
  public record ModelReport(int inFlight, TimeSpan idleTime) {}

  private record ControllerReport(
      Incarnation incarnation,
      MonotonicTime receivedAt,
      Map<String, ModelReport> models,
      TimeSpan observing) {}

  private final Map<ControllerId, ControllerReport> reports = new HashMap<>();

  /**
   * Records the complete report of a controller.
   *
   * @param observing for how long the controller has been observing demand; a model that the report
   *     does not name has had no demand there for that long
   */
  public void report(
      ControllerId member,
      Incarnation incarnation,
      Map<String, ModelReport> models,
      TimeSpan observing,
      MonotonicTime now) {
    reports.put(member, new ControllerReport(incarnation, now, Map.copyOf(models), observing));
  }

  /** Drops the reports of controllers whose membership lease has expired. */
  public void retainMembers(Set<ControllerId> members) {
    reports.keySet().retainAll(members);
  }

  public void clear() {
    reports.clear();
  }

  public int inFlight(String model) {
    int sum = 0;
    for (ControllerReport report : reports.values()) {
      ModelReport ofModel = report.models.get(model);
      sum += ofModel == null ? 0 : ofModel.inFlight;
    }
    return sum;
  }

  /**
   * Returns for how long no controller has seen demand for a model, or null while a member has not
   * reported yet.
   */
  public TimeSpan idleTime(String model, Collection<ControllerId> members, MonotonicTime now) {
    TimeSpan least = null;
    for (ControllerId member : members) {
      ControllerReport report = reports.get(member);
      if (report == null) {
        return null;
      }
      ModelReport ofModel = report.models.get(model);
      // Requests that were in flight at the last report may still be in flight.
      TimeSpan age = now.since(report.receivedAt).times(CLOCK_DRIFT_FACTOR);
      TimeSpan idle =
          ofModel == null
              ? report.observing.plus(age)
              : ofModel.inFlight > 0 ? TimeSpan.ZERO : ofModel.idleTime.plus(age);
      least = least == null || least.isLongerThan(idle) ? idle : least;
    }
    return least;
  }
}
