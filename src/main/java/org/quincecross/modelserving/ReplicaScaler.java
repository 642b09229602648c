package org.quincecross.modelserving;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Decides the target number of replicas of a model that is up. Scales out at once; scales in only
 * after demand has been low for {@link #SCALE_IN_DELAY}.
 */
public final class ReplicaScaler {
  /** Utilisation above which replicas are added. */
  static final double MAX_UTILISATION = 0.8;

  /** Utilisation that remaining replicas must stay below for replicas to be removed. */
  static final double SCALE_IN_UTILISATION = 0.6;

  static final TimeSpan SCALE_IN_DELAY = TimeSpan.ofSeconds(60);

  private MonotonicTime lowSince;

  /** Returns the target number of replicas; {@code tasks} is the number of tasks of the job. */
  public int desiredReplicas(Model model, int tasks, int inFlight, MonotonicTime now) {
    Model.ScalingLimits limits = model.limits();
    int max = Math.min(limits.maxReplicas(), tasks);
    int min = Math.min(max, Math.max(1, limits.minReplicas()));
    int up = clamp(Math.ceil(inFlight / (MAX_UTILISATION * limits.requestsPerReplica())), min, max);
    if (up >= model.desiredReplicas()) {
      lowSince = null;
      return up;
    }
    int down =
        clamp(Math.ceil(inFlight / (SCALE_IN_UTILISATION * limits.requestsPerReplica())), min, max);
    if (down >= model.desiredReplicas()) {
      lowSince = null;
      return model.desiredReplicas();
    }
    lowSince = lowSince == null ? now : lowSince;
    if (!now.since(lowSince).isLongerThan(SCALE_IN_DELAY)) {
      return model.desiredReplicas();
    }
    lowSince = null;
    return down;
  }

  private static int clamp(double replicas, int min, int max) {
    return (int) Math.max(min, Math.min(max, replicas));
  }
}
