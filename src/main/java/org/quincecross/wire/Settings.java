package org.quincecross.wire;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.ServiceLevelObjective;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.model.Team;
import org.quincecross.rollout.Terms;
import org.quincecross.silence.UnconfirmedBound;

/**
 * The settings file that the platform hands to every controller.
 *
 * @param clockBound how far the time of day may be from true time
 */
public record Settings(
    ControllerId member,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    List<Sibling> siblings,
    Endpoint cloud,
    Endpoint state,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    TimeSpan clockBound,
    Quota quota) {
  private static final double DEFAULT_TIME_BOUND_MS = 2000;

  /** Another controller. */
  public record Sibling(ControllerId member, String zone, Endpoint endpoint) {}

  /**
   * What is expected of a class of jobs; {@code within} and {@code jobClass} may be null.
   *
   * @param times of a deadline: by how many times the deadline; 1 where nothing is said
   */
  public record Objective(String kind, String jobClass, TimeSpan within, double times, double share) {}

  /** How workers behave. */
  public record Workers(TimeSpan report, TimeSpan lease, TimeSpan gangWait, TimeSpan gangPeer, TimeSpan cancel) {
    /** How long a holder goes on without the state service, and when cancellations are told. */
    public UnconfirmedBound unconfirmedBound() {
      return UnconfirmedBound.of(lease, cancel);
    }
  }

  /**
   * What the state service allows all controllers together. Of the limits that hold now and those
   * announced for later, a controller has the smaller of each from its start on: when they fall is
   * not told, and what is written then may be changed after it (docs/design/limits-that-fall.md).
   *
   * @param valueBytes of one value
   * @param txnChanges puts and deletes of one transaction; it may have {@link #GUARDS_PER_CHANGE}
   *     times as many conditions
   */
  public record StateLimits(
      double requestsPerS, double writesPerS, int valueBytes, int txnChanges) {
    public static final int GUARDS_PER_CHANGE = 4;

    /** What is left free of a value: what is put in beside what was counted. */
    private static final int VALUE_MARGIN = 64;

    /** The smaller of each. */
    public StateLimits smaller(StateLimits other) {
      return new StateLimits(
          Math.min(requestsPerS, other.requestsPerS),
          Math.min(writesPerS, other.writesPerS),
          Math.min(valueBytes, other.valueBytes),
          Math.min(txnChanges, other.txnChanges));
    }

    /** The bytes that a value is planned to have at the most. */
    public int plannedValue() {
      return valueBytes - VALUE_MARGIN;
    }
  }

  /** What the cloud allows, and how late its list is. */
  public record CloudLimits(double requestsPerS, TimeSpan listLag) {}

  /** What this process may use. */
  public record Quota(double cpuShare, double memoryMb, int sockets) {}

  /** The time within which tasks of a class should start, or null if nothing is said of that. */
  public TimeSpan startWithin(String jobClass) {
    TimeSpan least = null;
    for (Objective objective : objectives) {
      if (objective.kind().equals("wait")
          && jobClass.equals(objective.jobClass())
          && objective.within() != null
          && (least == null || least.isLongerThan(objective.within()))) {
        least = objective.within();
      }
    }
    return least;
  }

  /**
   * What is expected of a job: its deadline, and what the objectives say of its class; the soonest
   * first.
   */
  public List<ServiceLevelObjective> aims(Job job) {
    return aims(objectives, job);
  }

  /**
   * What is expected from when a job could run, {@code waited} after it was submitted: its deadline
   * counts from there.
   */
  public List<ServiceLevelObjective> aims(Job job, TimeSpan waited) {
    return aims(objectives, job, waited);
  }

  /** What has to be the same on all controllers, to be announced. */
  public Terms terms() {
    Map<String, Resources> limits = new LinkedHashMap<>();
    teams.forEach((name, team) -> limits.put(name, team.limit()));
    return new Terms(SettingsFingerprint.of(this), limits);
  }

  /**
   * Whether nobody expects a job by any time, and it loses next to nothing when it is stopped: it
   * takes what is left over, and all others go before it. What cannot save is of the lowest
   * priority like any other: stopped each time, it would never end.
   */
  public boolean isIdle(Job job) {
    // Asked for every task that runs: without the names of aims, which aims(job) formats.
    if (job.priority() != Priority.LOW || job.deadline() != null || !job.hasCheckpoints()) {
      return false;
    }
    for (Objective objective : objectives) {
      if (objective.within() != null && job.jobClass().equals(objective.jobClass())) {
        return false;
      }
    }
    return true;
  }

  /** What {@code objectives} and its own deadline expect of a job, the soonest first. */
  public static List<ServiceLevelObjective> aims(List<Objective> objectives, Job job) {
    return aims(objectives, job, TimeSpan.ZERO);
  }

  private static List<ServiceLevelObjective> aims(List<Objective> objectives, Job job, TimeSpan waited) {
    List<ServiceLevelObjective> aims = new ArrayList<>();
    boolean ownDeadline = job.deadline() != null;
    for (Objective objective : objectives) {
      if (!job.jobClass().equals(objective.jobClass())) {
        continue;
      }
      if (objective.within() != null) {
        boolean start = objective.kind().equals("wait");
        aims.add(
            new ServiceLevelObjective(
                objective.kind() + " " + Math.round(objective.within().seconds()) + " s",
                start ? ServiceLevelObjective.Milestone.EACH_START : ServiceLevelObjective.Milestone.END,
                objective.within()));
      } else if (job.deadline() != null) {
        ownDeadline &= objective.times() != 1;
        aims.add(deadline(job, objective.times(), waited));
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
        ServiceLevelObjective.Milestone.END,
        new TimeSpan(job.deadline().times(times).nanos() - waited.nanos()));
  }

  public static Settings read(byte[] bytes) throws BadMessage {
    Fields in = Fields.of(Json.parse(bytes), "the settings");
    Fields external = in.fields("external");
    Fields params = in.fields("params");
    List<Sibling> siblings = new ArrayList<>();
    for (Fields sibling : in.objects("siblings")) {
      siblings.add(
          new Sibling(
              new ControllerId(sibling.text("member")),
              sibling.text("site"),
              endpoint(sibling, "endpoint")));
    }
    Map<String, Team> teams = new LinkedHashMap<>();
    for (Fields team : params.objects("teams")) {
      double unlimited = Double.POSITIVE_INFINITY;
      Team read =
          new Team(
              team.text("name"),
              new Resources(team.amount("cpus"), team.amount("gpus"), unlimited),
              new Resources(
                  orUnlimited(team.amount("cpus_max")),
                  orUnlimited(team.amount("gpus_max")),
                  unlimited));
      teams.put(read.name(), read);
    }
    List<Objective> objectives = new ArrayList<>();
    for (Object item : params.listOrEmpty("objectives")) {
      Fields objective = Fields.of(item, "an item of objectives");
      objectives.add(
          new Objective(
              objective.text("kind"),
              objective.textOr("class", null),
              objective.has("within_s") ? TimeSpan.ofSeconds(objective.amount("within_s")) : null,
              objective.has("times") ? objective.positive("times") : 1,
              objective.has("share") ? objective.amount("share") : 1));
    }
    Fields workers = params.fields("workers");
    Fields state = params.fields("state");
    Fields cloud = params.fields("cloud");
    Fields quota = params.fields("quota");
    return new Settings(
        new ControllerId(in.text("member")),
        in.text("site"),
        endpoint(in, "listen"),
        endpoint(in, "peer_bind"),
        List.copyOf(siblings),
        endpoint(external, "cloud"),
        endpoint(external, "state"),
        List.copyOf(params.texts("zones")),
        teams,
        List.copyOf(objectives),
        workers(workers),
        state.has("next")
            ? stateLimits(state, state).smaller(stateLimits(state.fields("next"), state))
            : stateLimits(state, state),
        new CloudLimits(cloud.positive("rps"), TimeSpan.ofSeconds(cloud.amount("list_lag_s"))),
        TimeSpan.ofSeconds(
            (params.has("time_bound_ms") ? params.amount("time_bound_ms") : DEFAULT_TIME_BOUND_MS)
                / 1000),
        new Quota(
            quota.positive("cpu"),
            quota.positive("ram_mb"),
            quota.count("fd_limit", 16, 10_000_000)));
  }

  /**
   * Limits of which {@code in} may name any; those that it does not name are as in {@code
   * otherwise}.
   */
  private static StateLimits stateLimits(Fields in, Fields otherwise) throws BadMessage {
    return new StateLimits(
        each(in, otherwise, "rps").positive("rps"),
        each(in, otherwise, "write_rps").positive("write_rps"),
        (int) (each(in, otherwise, "value_kb").positive("value_kb") * 1024),
        each(in, otherwise, "txn_ops").count("txn_ops", 1, 100_000));
  }

  private static Fields each(Fields in, Fields otherwise, String name) {
    return in.has(name) ? in : otherwise;
  }

  private static Workers workers(Fields in) throws BadMessage {
    Workers workers =
        new Workers(
            span(in, "report_s"),
            span(in, "lease_s"),
            span(in, "gang_wait_s"),
            span(in, "gang_peer_s"),
            span(in, "cancel_s"));
    if (!UnconfirmedBound.isPossible(workers.lease(), workers.cancel())) {
      throw new BadMessage(
          "field lease_s is too long for what cancel_s says: tasks that nobody reaches go on for a lease");
    }
    return workers;
  }

  private static double orUnlimited(double value) {
    return value == 0 ? Double.POSITIVE_INFINITY : value;
  }

  private static Endpoint endpoint(Fields in, String name) throws BadMessage {
    Endpoint endpoint = Endpoint.parse(in.text(name));
    if (endpoint == null) {
      throw new BadMessage("field " + name + " is not an IPv4 address and a port");
    }
    return endpoint;
  }

  private static TimeSpan span(Fields in, String name) throws BadMessage {
    double seconds = in.positive(name);
    if (seconds > 86_400) {
      throw new BadMessage("field " + name + " is longer than a day");
    }
    return TimeSpan.ofSeconds(seconds);
  }
}
