package org.quincecross.scheduling;

import java.util.Comparator;
import org.quincecross.model.Job;

/** A shard that a task could go to, in its present state; smaller is better. */
final class PlacementCandidate implements Comparable<PlacementCandidate> {
  private final Admission.ShardCapacity shard;
  private final int grade;
  private final int inZone;
  private final int keptInZone;
  private final int secondaryGrade;
  private final double unused;

  /**
   * Creates a candidate.
   *
   * @param kept the number of tasks of the job's class for which the zone keeps capacity; used
   *     evenly, so that the last job finds some in all zones
   */
  PlacementCandidate(
      Admission.ShardCapacity shard, JobDemand demand, boolean usesHeadroom, int inZone, int kept) {
    this.shard = shard;
    this.keptInZone = kept;
    this.inZone = inZone;
    Job job = demand.job();
    boolean wastesGpus = job.taskResources().gpus() == 0 && shard.capacity().gpus() > 0;
    boolean waits = kept == 0 && !job.taskResources().fitsIn(shard.free());
    // Work is packed where it fits, so that unneeded machines become idle and can be terminated.
    this.unused = -shard.usedShare();
    // Urgent work prefers machines with its image above all; for other work an image pull costs
    // less.
    int room = (usesHeadroom ? 4 : 0) + (wastesGpus ? 2 : 0) + (waits ? 1 : 0);
    int image = 2 * shard.imageGrade(job) + (shard.isSpot() ? 0 : 1);
    this.grade = demand.avoidsImagePull() ? image : room;
    this.secondaryGrade = demand.avoidsImagePull() ? room : image;
  }

  Admission.ShardCapacity shard() {
    return shard;
  }

  @Override
  public int compareTo(PlacementCandidate other) {
    if (grade != other.grade) {
      return Integer.compare(grade, other.grade);
    }
    if (keptInZone != other.keptInZone) {
      return Integer.compare(other.keptInZone, keptInZone);
    }
    if (inZone != other.inZone) {
      return Integer.compare(inZone, other.inZone);
    }
    if (secondaryGrade != other.secondaryGrade) {
      return Integer.compare(secondaryGrade, other.secondaryGrade);
    }
    int byUse = Double.compare(unused, other.unused);
    return byUse != 0 ? byUse : shard.id().compareTo(other.shard.id());
  }

  /** The order in which shards with capacity for a gang are preferred. */
  static Comparator<Admission.ShardCapacity> gangOrder(JobDemand demand) {
    Job job = demand.job();
    return Comparator.comparing(
            (Admission.ShardCapacity shard) -> -Math.min(job.taskCount(), shard.placesNow(job)))
        .thenComparing(shard -> -Math.min(job.taskCount(), shard.placesSoon(job)))
        .thenComparing(shard -> new PlacementCandidate(shard, demand, false, 0, 0).grade)
        .thenComparing(shard -> shard.imageGrade(job))
        .thenComparing(Admission.ShardCapacity::usedShare)
        .thenComparing(Admission.ShardCapacity::id);
  }
}
