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
 * @param clockBound how far the time of day may be from true time
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
  private static final double DEFAULT_TIME_BOUND_MS = 2000;

  /** Another controller. */
  public record Peer(ControllerId member, String zone, Endpoint endpoint) {}

  /**
   * What is expected of a class of jobs; {@code within} and {@code jobClass} may be null.
   *
   * @param times of a deadline: by how many times the deadline; 1 where nothing is said
   */
  public record Objective(
      String kind,
      String jobClass,
      TimeSpan timeLimit,
      double deadlineFactor,
      double targetShare) {}

  /** How workers behave. */
  public record AgentTimeouts(
      TimeSpan heartbeatInterval,
      TimeSpan lease,
      TimeSpan gangStartTimeout,
      TimeSpan gangPeerTimeout,
      TimeSpan cancelTimeout) {
    /** How long a holder goes on without the state service, and when cancellations are told. */
    public UnconfirmedOwnershipBound unconfirmedBound() {
      return UnconfirmedOwnershipBound.of(lease, cancelTimeout);
    }
  }

  /**
   * What the state service allows all controllers together. Of the limits that hold now and those
   * announced for later, a controller has the smaller of each from its start on: when they fall is
   * not told, and what is written then may be changed after it (docs/design/limits-that-fall.md).
   *
   * @param valueBytes of one value
   * @param txnChanges puts and deletes of one transaction; it may have {@link
   *     #PRECONDITIONS_PER_MUTATION} times as many conditions
   */
  public record StoreLimits(
      double requestsPerSecond,
      double writesPerSecond,
      int maxValueBytes,
      int maxMutationsPerTransaction) {
    public static final int PRECONDITIONS_PER_MUTATION = 4;

    /** What is left free of a value: what is put in beside what was counted. */
    private static final int VALUE_MARGIN = 64;

    /** The smaller of each. */
    public StoreLimits smaller(StoreLimits other) {
      return new StoreLimits(
          Math.min(requestsPerSecond, other.requestsPerSecond),
          Math.min(writesPerSecond, other.writesPerSecond),
          Math.min(maxValueBytes, other.maxValueBytes),
          Math.min(maxMutationsPerTransaction, other.maxMutationsPerTransaction));
    }

    /** The bytes that a value is planned to have at the most. */
    public int plannedValueBytes() {
      return maxValueBytes - VALUE_MARGIN;
    }
  }

  /** What the cloud allows, and how late its list is. */
  public record CloudLimits(double requestsPerSecond, TimeSpan listLag) {}

  /** What this process may use. */
  public record ProcessLimits(double cpuShare, double memoryMb, int maxSockets) {}

  /** The time within which tasks of a class should start, or null if nothing is said of that. */
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
   * What is expected of a job: its deadline, and what the objectives say of its class; the soonest
   * first.
   */
  public List<ServiceLevelObjective> objectivesOf(Job job) {
    return objectivesOf(objectives, job);
  }

  /**
   * What is expected from when a job could run, {@code waited} after it was submitted: its deadline
   * counts from there.
   */
  public List<ServiceLevelObjective> objectivesOf(Job job, TimeSpan waited) {
    return objectivesOf(objectives, job, waited);
  }

  /** What has to be the same on all controllers, to be announced. */
  public AnnouncedLimits announcedLimits() {
    Map<String, Resources> limits = new LinkedHashMap<>();
    teams.forEach((name, team) -> limits.put(name, team.limit()));
    return new AnnouncedLimits(SettingsFingerprint.of(this), limits);
  }

  /**
   * Whether nobody expects a job by any time, and it loses next to nothing when it is stopped: it
   * takes what is left over, and all others go before it. What cannot save is of the lowest
   * priority like any other: stopped each time, it would never end.
   */
  public boolean isBestEffort(Job job) {
    // Asked for every task that runs: without the names of aims, which aims(job) formats.
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

  /** What {@code objectives} and its own deadline expect of a job, the soonest first. */
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
    aims.sort(Comparator.comparing(ServiceLevelObjective::within));
    return aims;
  }

  private static ServiceLevelObjective deadline(Job job, double times, TimeSpan waited) {
    // Asked for every job that waits: formatting cost a leader that had just started seconds of
    // replica time.
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

  public static Settings read(byte[] bytes) throws MalformedMessageException {
    JsonFields in = JsonFields.of(Json.parse(bytes), "the settings");
    JsonFields external = in.fields("external");
    JsonFields params = in.fields("params");
    List<Peer> siblings = new ArrayList<>();
    for (JsonFields sibling : in.objects("siblings")) {
      siblings.add(
          new Peer(
              new ControllerId(sibling.string("member")),
              sibling.string("site"),
              endpoint(sibling, "endpoint")));
    }
    Map<String, Team> teams = new LinkedHashMap<>();
    for (JsonFields team : params.objects("teams")) {
      double unlimited = Double.POSITIVE_INFINITY;
      Team read =
          new Team(
              team.string("name"),
              new Resources(
                  team.nonNegativeNumber("cpus"), team.nonNegativeNumber("gpus"), unlimited),
              new Resources(
                  orUnlimited(team.nonNegativeNumber("cpus_max")),
                  orUnlimited(team.nonNegativeNumber("gpus_max")),
                  unlimited));
      teams.put(read.name(), read);
    }
    List<Objective> objectives = new ArrayList<>();
    for (Object item : params.listOrEmpty("objectives")) {
      JsonFields objective = JsonFields.of(item, "an item of objectives");
      objectives.add(
          new Objective(
              objective.string("kind"),
              objective.stringOr("class", null),
              objective.has("within_s")
                  ? TimeSpan.ofSeconds(objective.nonNegativeNumber("within_s"))
                  : null,
              objective.has("times") ? objective.positiveNumber("times") : 1,
              objective.has("share") ? objective.nonNegativeNumber("share") : 1));
    }
    JsonFields workers = params.fields("workers");
    JsonFields state = params.fields("state");
    JsonFields cloud = params.fields("cloud");
    JsonFields quota = params.fields("quota");
    return new Settings(
        new ControllerId(in.string("member")),
        in.string("site"),
        endpoint(in, "listen"),
        endpoint(in, "peer_bind"),
        List.copyOf(siblings),
        endpoint(external, "cloud"),
        endpoint(external, "state"),
        List.copyOf(params.strings("zones")),
        teams,
        List.copyOf(objectives),
        agentTimeouts(workers),
        state.has("next")
            ? storeLimits(state, state).smaller(storeLimits(state.fields("next"), state))
            : storeLimits(state, state),
        new CloudLimits(
            cloud.positiveNumber("rps"), TimeSpan.ofSeconds(cloud.nonNegativeNumber("list_lag_s"))),
        TimeSpan.ofSeconds(
            (params.has("time_bound_ms")
                    ? params.nonNegativeNumber("time_bound_ms")
                    : DEFAULT_TIME_BOUND_MS)
                / 1000),
        new ProcessLimits(
            quota.positiveNumber("cpu"),
            quota.positiveNumber("ram_mb"),
            quota.integer("fd_limit", 16, 10_000_000)));
  }

  /**
   * Limits of which {@code in} may name any; those that it does not name are as in {@code
   * otherwise}.
   */
  private static StoreLimits storeLimits(JsonFields in, JsonFields otherwise)
      throws MalformedMessageException {
    return new StoreLimits(
        each(in, otherwise, "rps").positiveNumber("rps"),
        each(in, otherwise, "write_rps").positiveNumber("write_rps"),
        (int) (each(in, otherwise, "value_kb").positiveNumber("value_kb") * 1024),
        each(in, otherwise, "txn_ops").integer("txn_ops", 1, 100_000));
  }

  private static JsonFields each(JsonFields in, JsonFields otherwise, String name) {
    return in.has(name) ? in : otherwise;
  }

  private static AgentTimeouts agentTimeouts(JsonFields in) throws MalformedMessageException {
    AgentTimeouts workers =
        new AgentTimeouts(
            span(in, "report_s"),
            span(in, "lease_s"),
            span(in, "gang_wait_s"),
            span(in, "gang_peer_s"),
            span(in, "cancel_s"));
    if (!UnconfirmedOwnershipBound.isPossible(workers.lease(), workers.cancelTimeout())) {
      throw new MalformedMessageException(
          "field lease_s is too long for what cancel_s says: tasks that nobody reaches go on for a lease");
    }
    return workers;
  }

  private static double orUnlimited(double value) {
    return value == 0 ? Double.POSITIVE_INFINITY : value;
  }

  private static Endpoint endpoint(JsonFields in, String name) throws MalformedMessageException {
    Endpoint endpoint = Endpoint.parse(in.string(name));
    if (endpoint == null) {
      throw new MalformedMessageException("field " + name + " is not an IPv4 address and a port");
    }
    return endpoint;
  }

  private static TimeSpan span(JsonFields in, String name) throws MalformedMessageException {
    double seconds = in.positiveNumber(name);
    if (seconds > 86_400) {
      throw new MalformedMessageException("field " + name + " is longer than a day");
    }
    return TimeSpan.ofSeconds(seconds);
  }
}
