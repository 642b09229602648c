package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.failuredetection.UnconfirmedOwnershipBound;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ServiceLevelObjective;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.rollout.AnnouncedLimits;

/**
 * The settings file that the platform hands to every controller.
 *
 * @param peers the other controllers
 * @param storeAddress the address of the key-value store
 * @param clockBound the maximum difference between the time of day and true time
 */
public record Settings(
    ControllerId self,
    String zone,
    Endpoint listenAddress,
    Endpoint peerAddress,
    List<Peer> peers,
    Endpoint cloudAddress,
    Endpoint storeAddress,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    AgentTimeouts agentTimeouts,
    StoreLimits storeLimits,
    CloudLimits cloudLimits,
    TimeSpan clockBound,
    ProcessLimits processLimits) {

  /** Another controller. */
  public record Peer(ControllerId id, String zone, Endpoint address) {}

  /**
   * A configured objective of a job class; {@code timeLimit} and {@code jobClass} may be null.
   *
   * @param deadlineFactor for deadlines: the multiple of the deadline that counts
   */
  public record Objective(
      String kind,
      String jobClass,
      TimeSpan timeLimit,
      double deadlineFactor,
      double targetShare) {}

  /**
   * The timing of agents.
   *
   * @param lease how long an agent runs tasks without a response from a controller
   * @param gangStartTimeout how long a gang task waits for the others
   * @param gangPeerTimeout how soon gang tasks notice that one of them is gone
   * @param cancelTimeout how soon the tasks of a cancelled job have to be gone
   */
  public record AgentTimeouts(
      TimeSpan heartbeatInterval,
      TimeSpan lease,
      TimeSpan gangStartTimeout,
      TimeSpan gangPeerTimeout,
      TimeSpan cancelTimeout) {
    /**
     * How long an owner acts without confirmation by the store, and when cancellations are
     * confirmed to users.
     */
    public UnconfirmedOwnershipBound unconfirmedBound() {
      return UnconfirmedOwnershipBound.of(lease, cancelTimeout);
    }
  }

  /**
   * The limits that the key-value store grants all controllers together. Of current and announced
   * limits a controller uses the smaller from its start on: the moment of a change is not
   * announced, and records written now are changed after it (docs/design/limits-that-fall.md).
   *
   * @param maxMutationsPerTransaction a transaction may have {@link #PRECONDITIONS_PER_MUTATION}
   *     times as many preconditions
   */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxMutationsPerTransaction) {
    public static final int PRECONDITIONS_PER_MUTATION = 4;

    /** The bytes of a value kept free for fields that are added after its size was estimated. */
    private static final int VALUE_HEADROOM_BYTES = 64;

    /** The minimum of each limit. */
    public StoreLimits min(StoreLimits other) {
      return new StoreLimits(
          Math.min(requestsPerSecond, other.requestsPerSecond),
          Math.min(writesPerSecond, other.writesPerSecond),
          Math.min(maxValueBytes, other.maxValueBytes),
          Math.min(maxMutationsPerTransaction, other.maxMutationsPerTransaction));
    }

    /** The maximum size that values are planned for, in bytes. */
    public int plannedValueBytes() {
      return maxValueBytes - VALUE_HEADROOM_BYTES;
    }
  }

  /** The limits of the cloud's API, and the delay of its list. */
  public record CloudLimits(double requestsPerSecond, TimeSpan listLag) {}

  /** The resources that this process may use. */
  public record ProcessLimits(double cpuShare, double memoryMb, int maxSockets) {}

  /** The time within which tasks of a class should start, or null without such an objective. */
  public TimeSpan startTimeLimit(String jobClass) {
    TimeSpan least = null;
    for (Objective objective : objectives) {
      if (objective.kind().equals("wait")
          && jobClass.equals(objective.jobClass())
          && objective.timeLimit() != null
          && (least == null || least.isLongerThan(objective.timeLimit()))) {
        least = objective.timeLimit();
      }
    }
    return least;
  }

  /**
   * The objectives of a job: its deadline and the configured objectives of its class, soonest
   * first.
   */
  public List<ServiceLevelObjective> objectivesOf(Job job) {
    return objectivesOf(objectives, job);
  }

  /**
   * The objectives of a job that became runnable {@code waited} after its submission: its deadline
   * still counts from the submission.
   */
  public List<ServiceLevelObjective> objectivesOf(Job job, TimeSpan waited) {
    return objectivesOf(objectives, job, waited);
  }

  /** The parts of the settings that have to be equal on all controllers. */
  public AnnouncedLimits announcedLimits() {
    Map<String, Resources> limits = new LinkedHashMap<>();
    teams.forEach((name, team) -> limits.put(name, team.limit()));
    return new AnnouncedLimits(SettingsFingerprint.of(this), limits);
  }

  /**
   * Whether a job is best-effort: it has no objective, the lowest priority, and checkpoints, so
   * that preempting it costs next to nothing. Without checkpoints, preemption could keep it from
   * ever ending.
   */
  public boolean isBestEffort(Job job) {
    // Checked for every running task, so objectivesOf(job), which formats names, is too expensive.
    if (job.priority() != Priority.LOW || job.deadline() != null || !job.hasCheckpoints()) {
      return false;
    }
    for (Objective objective : objectives) {
      if (objective.timeLimit() != null && job.jobClass().equals(objective.jobClass())) {
        return false;
      }
    }
    return true;
  }

  /** The objectives of a job among {@code objectives} and its own deadline, soonest first. */
  public static List<ServiceLevelObjective> objectivesOf(List<Objective> objectives, Job job) {
    return objectivesOf(objectives, job, TimeSpan.ZERO);
  }

  private static List<ServiceLevelObjective> objectivesOf(
      List<Objective> objectives, Job job, TimeSpan waited) {
    List<ServiceLevelObjective> aims = new ArrayList<>();
    boolean ownDeadline = job.deadline() != null;
    for (Objective objective : objectives) {
      if (!job.jobClass().equals(objective.jobClass())) {
        continue;
      }
      if (objective.timeLimit() != null) {
        boolean start = objective.kind().equals("wait");
        aims.add(
            new ServiceLevelObjective(
                objective.kind() + " " + Math.round(objective.timeLimit().seconds()) + " s",
                start ? ServiceLevelObjective.Event.EACH_START : ServiceLevelObjective.Event.END,
                objective.timeLimit()));
      } else if (job.deadline() != null) {
        ownDeadline &= objective.deadlineFactor() != 1;
        aims.add(deadline(job, objective.deadlineFactor(), waited));
      }
    }
    if (ownDeadline) {
      aims.add(deadline(job, 1, waited));
    }
    aims.sort(Comparator.comparing(ServiceLevelObjective::timeLimit));
    return aims;
  }

  private static ServiceLevelObjective deadline(Job job, double times, TimeSpan waited) {
    // String.format is too expensive here: this runs for every pending job.
    long hundredths = Math.round(times * 100);
    return new ServiceLevelObjective(
        "deadline "
            + hundredths / 100
            + (hundredths % 100 < 10 ? ".0" : ".")
            + hundredths % 100
            + "x",
        ServiceLevelObjective.Event.END,
        new TimeSpan(job.deadline().times(times).nanos() - waited.nanos()));
  }
}
