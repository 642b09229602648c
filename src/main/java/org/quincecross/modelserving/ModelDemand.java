package org.quincecross.modelserving;

import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Demand for one model as observed by this controller: wake requests, and the sum of the in-flight
 * request counts that callers report. A wake request is kept until the model's record shows that it
 * has taken effect, so a drain that was decided without knowledge of the wake cannot drop it.
 */
public final class ModelDemand {
  /**
   * How long a caller's in-flight count remains valid; a caller that has gone sends no final
   * report.
   */
  public static final TimeSpan CALLER_REPORT_TTL = TimeSpan.ofSeconds(30);

  /**
   * Maximum number of callers tracked separately. Beyond that, a new caller overwrites the first
   * entry in name order.
   */
  private static final int MAX_CALLERS = 64;

  /** What this controller has to do about the model's record. */
  public enum State {
    /** Nothing: the record shows the model up, or there is no demand. */
    SATISFIED,
    /**
     * There is demand while the record shows the model down, so a wake command must be sent. Ends
     * when the record shows the model up.
     */
    WANTED
  }

  private record CallerReport(int inFlight, MonotonicTime at) {}

  private final MonotonicTime observedSince;
  private final Map<String, CallerReport> callers = new TreeMap<>();
  private State state = State.SATISFIED;

  /** Time of the last demand seen by this controller; null if there was none. */
  private MonotonicTime lastDemandAt;

  private boolean up;

  /**
   * @param observedSince when this controller started observing demand
   */
  public ModelDemand(MonotonicTime observedSince) {
    this.observedSince = observedSince;
  }

  public State state() {
    return state;
  }

  /** The only method that changes the state. */
  private void setState(State next) {
    state = next;
  }

  /** Records a request for the model. */
  public void wake(MonotonicTime now) {
    lastDemandAt = now;
    if (!up) {
      setState(State.WANTED);
    }
  }

  /** Records how many requests a caller has in flight. */
  public void reportInFlight(String caller, int inFlight, MonotonicTime now) {
    callers.values().removeIf(report -> now.since(report.at).isLongerThan(CALLER_REPORT_TTL));
    String name =
        callers.containsKey(caller) || callers.size() < MAX_CALLERS
            ? caller
            : callers.keySet().iterator().next();
    callers.put(name, new CallerReport(inFlight, now));
    if (inFlight > 0) {
      wake(now);
    }
  }

  /** Returns the sum of all valid in-flight counts. */
  public int inFlight(MonotonicTime now) {
    int sum = 0;
    for (CallerReport report : callers.values()) {
      sum += now.since(report.at).isLongerThan(CALLER_REPORT_TTL) ? 0 : report.inFlight;
    }
    return sum;
  }

  /**
   * Returns for how long this controller has seen no demand. Without any demand yet, the time since
   * it started observing.
   */
  public TimeSpan idleTime(MonotonicTime now) {
    return inFlight(now) > 0
        ? TimeSpan.ZERO
        : now.since(lastDemandAt == null ? observedSince : lastDemandAt);
  }

  /**
   * Updates this state from the model's record. If the model goes down although this controller has
   * seen demand more recently than the drain decision knew of, the wake request stays pending.
   */
  public void update(Model model, MonotonicTime now) {
    boolean wasUp = up;
    up = model.isUp();
    if (up) {
      setState(State.SATISFIED);
    } else if (wasUp && lastDemandAt != null && idleTime(now).millis() < model.idleMs()) {
      setState(State.WANTED);
    }
  }

  /**
   * Records that the wake command was rejected permanently, because the model's job has ended or
   * the model is no longer defined.
   */
  public void wakeRejected() {
    setState(State.SATISFIED);
  }
}
