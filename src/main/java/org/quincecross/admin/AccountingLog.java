package org.quincecross.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.quincecross.accounting.JobAccounting;
import org.quincecross.accounting.LargestJobs;
import org.quincecross.accounting.ServiceLevels;
import org.quincecross.leader.Leader;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.StartBlock;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accounts service levels by team and class from the records, on every controller alike, so that a
 * new leader has the history. The leader logs a line for each team; all controllers show the
 * figures in their status. Counting starts with the process; what jobs that are open then had
 * received before counts as received at that time.
 */
public final class AccountingLog {
  private static final Logger LOG = LoggerFactory.getLogger(AccountingLog.class);

  /**
   * Interval at which allocations by other controllers are read; a start is counted at most this
   * much late.
   */
  private static final TimeSpan REFRESH_INTERVAL = TimeSpan.ofSeconds(2);

  /** Upper limit of the teams listed; beyond it, those served least. */
  private static final int MAX_TEAMS = 50;

  private final Timers timers;
  private final ClusterStateCache cache;
  private final Leader leader;
  private final LongSupplier clockMs;
  private final TimeSpan logInterval;
  private final StartBlock startBlock;
  private final JobAccounting accounting;

  /**
   * @param clockMs returns the time of day
   * @param logInterval interval at which the leader logs the figures
   * @param startBlock tasks that must not run now, which do not count as unserved
   */
  public AccountingLog(
      Timers timers,
      ClusterStateCache cache,
      Leader leader,
      Settings settings,
      LongSupplier clockMs,
      TimeSpan logInterval,
      StartBlock startBlock) {
    this.timers = timers;
    this.cache = cache;
    this.leader = leader;
    this.clockMs = clockMs;
    this.logInterval = logInterval;
    this.startBlock = startBlock;
    this.accounting =
        new JobAccounting(
            job -> {
              JobRecord record = cache.storedJob(job.id());
              return settings.objectivesOf(
                  job, TimeSpan.ofMillis(cache.runnableSinceMs(record) - record.acceptedMs()));
            });
  }

  public void start() {
    cache.addListener(this::cacheChanged);
    leader.addListener((job, more, reached) -> accounting.started(job, reached, timers.now()));
    timers.every(
        REFRESH_INTERVAL,
        () -> {
          if (cache.isLoaded()) {
            leader.refreshAllocations();
          }
        });
    timers.every(logInterval, this::log);
  }

  private void cacheChanged(ClusterStateCache.Changes changes) {
    MonotonicTime now = timers.now();
    for (JobId id : changes.jobs()) {
      JobRecord record = cache.job(id);
      if (record == null) {
        continue;
      }
      switch (record.phase()) {
        case OPEN -> {
          if (cache.dependencyGraph().isWaiting(id)) {
            continue; // a job with unfinished dependencies cannot run yet
          }
          TimeSpan age =
              TimeSpan.ofMillis(Math.max(0, clockMs.getAsLong() - cache.runnableSinceMs(record)));
          MonotonicTime accepted = new MonotonicTime(now.nanos() - age.nanos());
          if (changes.reloaded()) {
            accounting.recordAlreadyOpen(cache.storedJob(id).job(), accepted);
          } else {
            accounting.accepted(cache.storedJob(id).job(), accepted);
          }
          accounting.blocked(id, startBlock.blockedTasks(record.job()).size(), now);
        }
        case DONE -> accounting.done(id, now);
        case CANCELLED -> accounting.cancelled(id, now);
        default -> throw new IllegalStateException(record.phase().toString());
      }
    }
  }

  /** Called when other tasks of some jobs are blocked than before. */
  public void startBlockChanged(Set<JobId> jobs) {
    for (JobId id : jobs) {
      JobRecord record = cache.job(id);
      if (record != null && record.phase() == JobPhase.OPEN) {
        accounting.blocked(id, startBlock.blockedTasks(record.job()).size(), timers.now());
      }
    }
  }

  /** Returns the teams, least served first. */
  private List<Map.Entry<String, ServiceLevels>> teams(MonotonicTime now) {
    leader.tasksOverTeamLimit(accounting.openIds()).forEach(accounting::heldBack);
    List<Map.Entry<String, ServiceLevels>> teams =
        new ArrayList<>(accounting.teams(now).entrySet());
    teams.sort(
        Comparator.comparingDouble(
                (Map.Entry<String, ServiceLevels> team) -> team.getValue().lowestShare())
            .thenComparing(Map.Entry::getKey));
    return teams.subList(0, Math.min(MAX_TEAMS, teams.size()));
  }

  private void log() {
    if (!leader.isLeading() || !cache.isLoaded()) {
      return;
    }
    MonotonicTime now = timers.now();
    List<Map.Entry<String, ServiceLevels>> teams = teams(now);
    Map<JobAccounting.Group, ServiceLevels> groups = accounting.groups(now);
    for (Map.Entry<String, ServiceLevels> team : teams) {
      StringBuilder line = new StringBuilder();
      groups.forEach(
          (group, levels) -> {
            if (group.team().equals(team.getKey())) {
              line.append("; ").append(group.jobClass()).append(format(levels));
            }
          });
      LOG.info("served {}{}{}", team.getKey(), format(team.getValue()), line);
    }
    accounting
        .largest(now)
        .forEach(
            (name, fractions) ->
                fractions.forEach(
                    fraction ->
                        LOG.info(
                            "{}",
                            String.format(
                                Locale.ROOT,
                                "served %s largest %.2f: done %d/%d, begun in time %d/%d, longest %.0f s",
                                name,
                                fraction.fraction(),
                                fraction.served(),
                                fraction.jobs(),
                                fraction.inTime(),
                                fraction.due(),
                                fraction.longestS()))));
    if (leader.overload() != null) {
      LOG.info("{}", Json.object("overload", overload(now)));
    }
  }

  /**
   * Formats the figures for the log: jobs ended of accepted, tasks started of startable, and each
   * objective as met of due.
   */
  private static String format(ServiceLevels levels) {
    StringBuilder text =
        new StringBuilder(
            String.format(
                Locale.ROOT,
                " least %.2f: jobs %d/%d, tasks %d/%d",
                levels.lowestShare(),
                levels.ended(),
                levels.jobs(),
                levels.started(),
                levels.startable()));
    levels
        .objectives()
        .forEach(
            objective ->
                text.append(", ")
                    .append(objective.objective())
                    .append(' ')
                    .append(objective.met())
                    .append('/')
                    .append(objective.met() + objective.missed()));
    return text.append(String.format(Locale.ROOT, ", starved %.0f s", levels.starvedS()))
        .toString();
  }

  /** Returns the figures for the status: each team and class, least served first. */
  List<Object> write() {
    MonotonicTime now = timers.now();
    List<Map.Entry<String, ServiceLevels>> teams = cache.isLoaded() ? teams(now) : List.of();
    Map<JobAccounting.Group, ServiceLevels> groups = accounting.groups(now);
    List<Object> list = new ArrayList<>();
    for (Map.Entry<String, ServiceLevels> team : teams) {
      Map<String, Object> item = served(team.getValue());
      Map<String, Object> classes = Json.object();
      groups.forEach(
          (group, levels) -> {
            if (group.team().equals(team.getKey())) {
              classes.put(group.jobClass(), served(levels));
            }
          });
      item.put("team", team.getKey());
      item.put("classes", classes);
      list.add(item);
    }
    return list;
  }

  /** Returns for the status how the largest jobs of each class were served. */
  Map<String, Object> largest() {
    return writeLargest(accounting.largest(timers.now()));
  }

  /** Writes how the largest jobs of each class were served, as JSON. */
  public static Map<String, Object> writeLargest(Map<String, List<LargestJobs>> all) {
    Map<String, Object> written = Json.object();
    all.forEach(
        (name, fractions) ->
            written.put(name, fractions.stream().map(AccountingLog::writeLargestJobs).toList()));
    return written;
  }

  private static Map<String, Object> writeLargestJobs(LargestJobs jobs) {
    return Json.object(
        "part",
        jobs.fraction(),
        "jobs",
        jobs.jobs(),
        "served",
        jobs.served(),
        "due",
        jobs.due(),
        "in_time",
        jobs.inTime(),
        "longest_s",
        jobs.longestS());
  }

  private static Map<String, Object> served(ServiceLevels levels) {
    Map<String, Object> objectives = Json.object();
    levels
        .objectives()
        .forEach(
            objective ->
                objectives.put(
                    objective.objective(),
                    Json.object("met", objective.met(), "missed", objective.missed())));
    return Json.object(
        "least",
        levels.lowestShare(),
        "jobs",
        levels.jobs(),
        "ended",
        levels.ended(),
        "tasks",
        levels.tasks(),
        "startable",
        levels.startable(),
        "started",
        levels.started(),
        "starved_s",
        levels.starvedS(),
        "aims",
        objectives);
  }

  /** Returns for the status whether there is an overload; null if it is not monitored here. */
  Map<String, Object> overload(MonotonicTime now) {
    if (leader.overload() == null || leader.overload().since() == null) {
      return null;
    }
    return Json.object(
        "state",
        leader.overload().state().toString(),
        "for_s",
        now.since(leader.overload().since()).seconds(),
        "rate",
        leader.overload().rate(),
        "arriving",
        leader.overload().arrivalRate(),
        "set_aside",
        leader.overload().deferredJobs(),
        "behind_s",
        leader.overload().backlogS());
  }
}
