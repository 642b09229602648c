package org.quincecross.modelserving;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;

/**
 * A model as its record says. Whatever changes {@code places} raises {@code epoch}: what was
 * decided by an older epoch is refused.
 *
 * @param job the service whose tasks are the model's replicas, or null before it is defined
 * @param wanted how many replicas there are to be; 0 where none
 * @param places the replicas that may be on machines, and on which
 * @param avoided machines on which a start of this model has failed since it was last at zero
 * @param quietMs for so long nobody had wanted it, as far as was known to who last drained it: what
 *     was seen of demand later turns it back
 * @param sinceMs the time of day when it came into its state
 * @param why what brought it into its state, in words
 */
public record Model(
    JobId job,
    Terms terms,
    Phase phase,
    long epoch,
    int wanted,
    Map<Integer, Place> places,
    Set<MachineId> avoided,
    long quietMs,
    long sinceMs,
    String why) {
  /** One that nobody has defined. */
  public static final Model NONE =
      new Model(null, null, Phase.ZERO, 0, 0, Map.of(), Set.of(), 0, 0, "");

  /** The states of a model. */
  public enum Phase {
    /** No replica may be on any machine. Ends with a wake. */
    ZERO,
    /**
     * Replicas are to come, on machines that are chosen or still to be chosen. Ends when the least
     * of them run; a replica that does not come is given up and has another machine chosen, in a
     * new epoch.
     */
    STARTING,
    /** The least of its replicas have been seen to run. */
    WARM,
    /**
     * No replica may start, and those that run are stopped. Ends when none is left on any machine,
     * or with a wake.
     */
    DRAINING
  }

  /**
   * Where a replica may be.
   *
   * @param epoch the one in which this was chosen
   */
  public record Place(MachineId machine, long epoch) {}

  /**
   * What operators say of a model.
   *
   * @param least replicas while it is not at zero, at least 1
   * @param most replicas
   * @param perReplica how many requests a replica serves at a time
   * @param idle without a request for so long it goes to zero
   * @param keepWarm on how many machines its weights are kept while it is at zero
   */
  public record Terms(int least, int most, int perReplica, TimeSpan idle, int keepWarm) {}

  public Model {
    places = Collections.unmodifiableMap(new TreeMap<>(places));
    avoided = Collections.unmodifiableSet(new TreeSet<>(avoided));
  }

  public boolean isDefined() {
    return job != null;
  }

  /** Whether replicas may start. */
  public boolean isUp() {
    return phase == Phase.STARTING || phase == Phase.WARM;
  }

  /** Of so many replicas those that may not start, and are stopped where they run. */
  public TaskSet withheld(int tasks) {
    TaskSet withheld = TaskSet.range(tasks);
    if (isUp()) {
      places.keySet().forEach(withheld::remove);
    }
    return withheld;
  }

  /** How many replicas have no place yet, where the job has so many. */
  public int missing(int tasks) {
    return isUp() ? Math.max(0, Math.min(wanted, tasks) - places.size()) : 0;
  }

  Model in(Phase next, long atMs, String because) {
    return new Model(job, terms, next, epoch + 1, wanted, places, avoided, quietMs, atMs, because);
  }

  Model with(Map<Integer, Place> next) {
    return new Model(job, terms, phase, epoch, wanted, next, avoided, quietMs, sinceMs, why);
  }

  Model wanting(int replicas) {
    return new Model(job, terms, phase, epoch, replicas, places, avoided, quietMs, sinceMs, why);
  }

  Model avoiding(Set<MachineId> machines) {
    return new Model(job, terms, phase, epoch, wanted, places, machines, quietMs, sinceMs, why);
  }

  Model quietFor(long ms) {
    return new Model(job, terms, phase, epoch, wanted, places, avoided, ms, sinceMs, why);
  }

  Model under(Terms next) {
    return new Model(job, next, phase, epoch, wanted, places, avoided, quietMs, sinceMs, why);
  }
}
