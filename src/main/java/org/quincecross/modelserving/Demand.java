package org.quincecross.modelserving;

import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * What one controller has seen of the demand for a model: wakes, and the sum of what its callers
 * say is in flight. A wake is kept until the record shows that it was heard; so none is lost to a
 * drain that was decided before it was told.
 */
public final class Demand {
  /** What a caller says is in flight counts for so long: one that has gone says nothing more. */
  public static final TimeSpan TOLD_HOLDS = TimeSpan.ofSeconds(30);

  /** Callers of whom a number is kept; the rest add to the one that was first in order. */
  private static final int MOST_CALLERS = 64;

  /** What the controller has to do about the record. */
  public enum State {
    /** Nothing: the record shows the model up, or nobody has asked for it. */
    SATISFIED,
    /**
     * Somebody asked for it and the record shows it down: a wake is to be sent. Ends when the
     * record shows it up.
     */
    WANTED
  }

  private record Told(int inFlight, MonotonicTime at) {}

  private final MonotonicTime begun;
  private final Map<String, Told> callers = new TreeMap<>();
  private State state = State.SATISFIED;

  /** When it was last wanted here. */
  private MonotonicTime touched;

  private boolean up;

  /**
   * @param begun from when on this controller would know of any demand
   */
  public Demand(MonotonicTime begun) {
    this.begun = begun;
  }

  public State state() {
    return state;
  }

  /** The one place where the state changes. */
  private void enter(State next) {
    state = next;
  }

  /** Somebody wants it. */
  public void wake(MonotonicTime now) {
    touched = now;
    if (!up) {
      enter(State.WANTED);
    }
  }

  /** A caller tells how many requests it has in flight. */
  public void told(String caller, int inFlight, MonotonicTime now) {
    callers.values().removeIf(told -> now.since(told.at).isLongerThan(TOLD_HOLDS));
    String name =
        callers.containsKey(caller) || callers.size() < MOST_CALLERS
            ? caller
            : callers.keySet().iterator().next();
    callers.put(name, new Told(inFlight, now));
    if (inFlight > 0) {
      wake(now);
    }
  }

  /** The sum of what is in flight. */
  public int inFlight(MonotonicTime now) {
    int sum = 0;
    for (Told told : callers.values()) {
      sum += now.since(told.at).isLongerThan(TOLD_HOLDS) ? 0 : told.inFlight;
    }
    return sum;
  }

  /** For how long nobody has wanted it here, as far as this controller knows. */
  public TimeSpan quiet(MonotonicTime now) {
    return inFlight(now) > 0 ? TimeSpan.ZERO : now.since(touched == null ? begun : touched);
  }

  /**
   * Follows the record. Where it goes down though it was wanted here more lately than was known to
   * who drained it, the wake stands.
   */
  public void seen(Model model, MonotonicTime now) {
    boolean wasUp = up;
    up = model.isUp();
    if (up) {
      enter(State.SATISFIED);
    } else if (wasUp && touched != null && quiet(now).millis() < model.quietMs()) {
      enter(State.WANTED);
    }
  }

  /** The wake was refused for good: the model's job is over, or it is none any more. */
  public void refused() {
    enter(State.SATISFIED);
  }
}
