package org.quincecross.scheduling;

import java.util.List;
import java.util.Map;
import org.quincecross.model.Job;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;

/**
 * An open job with pending tasks.
 *
 * @param dueS the seconds until it should have ended; negative if it is late
 * @param avoidsImagePull whether pulling its image would make it late
 * @param perZone the number of its tasks in each zone
 * @param place its place among others of its priority
 * @param order smaller is earlier, within its place
 */
public record JobDemand(
    Job job,
    Revision accepted,
    double dueS,
    boolean guaranteed,
    boolean avoidsImagePull,
    TaskSet pool,
    Map<String, Integer> perZone,
    Admission.Place place,
    double order) {
  /** A job with less time to spare than this is urgent. */
  private static final double URGENT_WITHIN_S = 12;

  /**
   * Returns the demand with some of its tasks in an earlier place: as two demands, or as one if
   * none or all of its tasks are.
   */
  public List<JobDemand> with(int tasks, Admission.Place earlier) {
    if (tasks <= 0 || place == Admission.Place.GUARANTEED_START) {
      return List.of(this);
    }
    double orderOfEarlier = earlier == Admission.Place.GUARANTEED_START ? 0 : order; // oldest first
    // The job stays undivided if the place of one task may change where the next may go.
    if (tasks >= pool.size() || job.spreadOverZones() || job.singleZone()) {
      return List.of(
          new JobDemand(
              job,
              accepted,
              dueS,
              guaranteed,
              avoidsImagePull,
              pool,
              perZone,
              earlier,
              orderOfEarlier));
    }
    TaskSet later = pool.copy();
    TaskSet promoted = new TaskSet();
    for (int index = pool.nextMember(0);
        promoted.size() < tasks;
        index = pool.nextMember(index + 1)) {
      promoted.add(index);
      later.remove(index);
    }
    return List.of(
        new JobDemand(
            job,
            accepted,
            dueS,
            guaranteed,
            avoidsImagePull,
            promoted,
            perZone,
            earlier,
            orderOfEarlier),
        new JobDemand(
            job, accepted, dueS, guaranteed, avoidsImagePull, later, perZone, place, order));
  }

  /** Whether others have to give way: it must start at once, or it will be late. */
  boolean isUrgent() {
    double run = job.estimate().seconds();
    return job.priority() == Priority.PRODUCTION
        || dueS < run + Math.max(URGENT_WITHIN_S, 0.4 * run);
  }
}
