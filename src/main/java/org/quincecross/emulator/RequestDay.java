package org.quincecross.emulator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineType;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;
import org.quincecross.rollout.Build;
import org.quincecross.rollout.FeatureLevel;

/**
 * The cost of capacity that is reserved for requests, on a simulated day: all classes but the front
 * service arrive three times as often for a while, and another front service grows until the
 * capacity is exhausted. In the middle of that, the work for the requests' answers is submitted,
 * with a share of the processors reserved beforehand or with nothing reserved.
 */
public final class RequestDay {
  private static final double WORKLOAD_START_S = 15;
  private static final double INITIAL_JOBS_SPREAD_S = 20;

  /** By then the feature level that introduces requests is in force. */
  private static final double REQUESTS_AT_S = 40;

  private static final double FLOOD_AT_S = 100;
  private static final double FLOOD_DURATION_S = 120;
  private static final double FLOOD_FACTOR = 3;
  private static final double ANSWERS_AT_S = 180;
  private static final double DELIVERED_AT_S = 270;
  private static final double DURATION_S = 330;

  /** Enough for all requests, beyond any guarantee. */
  private static final double SHARE = 0.5;

  private static final int TASKS_PER_REQUEST = 8;
  private static final int FIRST_NUMBER = 10_000;
  private static final double CHECK_INTERVAL_S = 0.25;

  /** The other front service grows in this many steps. */
  private static final int GROWTH_STEPS = 25;

  private static final String OTHER_FRONT = "other front";

  /**
   * The lane of the work for answers: a lane of its own, so that other work of the front service
   * does not use its reservation.
   */
  private static final String ANSWERS = "answers";

  /**
   * The result of a day.
   *
   * @param price of all machines while they were up, by the hourly prices of the catalog
   * @param reserved the number of requests with a reservation when their work was submitted
   * @param waitsMs the time from submission to the first task on a machine, for services to the
   *     last one, by class; jobs that have not started count with their waiting time so far
   */
  public record Result(
      double share,
      double price,
      int requests,
      int reserved,
      int rulesBroken,
      Map<String, Histogram> waitsMs) {}

  private final double share;
  private final SimulatedCluster cluster;
  private final Map<JobId, String> waiting = new HashMap<>();
  private final Set<JobId> seenJobs = new HashSet<>();
  private final Set<JobId> jobsOfRequests = new HashSet<>();
  private final Map<String, Histogram> waits = new TreeMap<>();
  private final int requests;
  private final ClusterSpec.JobClass front;
  private double price;
  private int reserved;
  private int wrongAnswers;
  private int grown;

  private RequestDay(int machines, long seed, double share, double mostShare) {
    this.share = share;
    ClusterSpec spec = ClusterSpec.fleet(machines);
    cluster =
        new SimulatedCluster(
            spec,
            seed,
            Meter.OFF,
            new Features(
                null,
                null,
                Build.present("requests", FeatureLevel.NEWEST.number()),
                Map.of("requests", Map.of("share", SHARE))));
    front =
        spec.classes().stream()
            .filter(each -> each.kind() == JobKind.SERVICE)
            .findFirst()
            .orElseThrow();
    MachineType type = spec.types().get(0);
    requests =
        (int)
            Math.max(
                1,
                Math.round(
                    mostShare
                        * machines
                        * type.capacity().capacityFor(front.taskResources())
                        / TASKS_PER_REQUEST));
    WorkloadGenerator load = new WorkloadGenerator(cluster.environment(), seed);
    cluster.time().at(WORKLOAD_START_S, () -> load.begin(INITIAL_JOBS_SPREAD_S));
    cluster
        .time()
        .at(
            FLOOD_AT_S,
            () ->
                spec.classes().stream()
                    .filter(each -> !each.equals(front))
                    .forEach(each -> load.burst(each.name(), FLOOD_FACTOR, FLOOD_DURATION_S)));
    if (share > 0) {
      cluster
          .time()
          .at(REQUESTS_AT_S, () -> send(0, (int) Math.round(requests * share / mostShare)));
    }
    for (int i = 0; i < GROWTH_STEPS; i++) {
      cluster.time().at(FLOOD_AT_S + 2 * i, this::grow);
    }
    cluster.time().at(ANSWERS_AT_S, this::submitAnswers);
    cluster.time().at(DELIVERED_AT_S, this::deliver);
    observe();
  }

  private void send(int number, int count) {
    if (number >= count) {
      return;
    }
    long nowMs = (long) (cluster.time().seconds() * 1000);
    Map<String, Object> command =
        Json.object(
            "do",
            "arrive",
            "kind",
            "police",
            "arrived_ms",
            nowMs,
            "due_ms",
            nowMs + 3_600_000L * (1 + number),
            "lane",
            ANSWERS,
            "team",
            front.name(),
            "tasks",
            TASKS_PER_REQUEST,
            "cpus",
            front.taskResources().cpus(),
            "memory_gb",
            front.taskResources().memoryGb(),
            "zones",
            List.of());
    change(number, "a", command, () -> {});
    cluster.time().after(0.3, () -> send(number + 1, count));
  }

  private void change(int number, String name, Map<String, Object> command, Runnable done) {
    cluster.sendDirectly(
        number % cluster.nodeCount(),
        HttpRequest.post(
            "/admin/agreed/requests/r-" + number,
            Json.write(Json.object("request", name, "command", command))),
        response -> {
          wrongAnswers += response.status() == 200 ? 0 : 1;
          done.run();
        });
  }

  /**
   * Submits another front service, of the team with the largest limit, sized as a part of the
   * cloud's capacity.
   */
  private void grow() {
    ClusterSpec spec = cluster.spec();
    String team =
        spec.teams().values().stream()
            .filter(each -> !each.name().equals(front.name()))
            .max(Comparator.comparing(each -> each.limit().cpus()))
            .orElseThrow()
            .name();
    int tasks =
        spec.maxMachines()
            * spec.types().get(0).capacity().capacityFor(front.taskResources())
            / GROWTH_STEPS;
    cluster
        .users()
        .submit(
            Job.builder(new JobId("job-" + (FIRST_NUMBER / 2 + grown++)))
                .jobClass(OTHER_FRONT)
                .team(team)
                .kind(JobKind.SERVICE)
                .priority(front.priority())
                .taskCount(tasks)
                .taskResources(front.taskResources())
                .image(OTHER_FRONT)
                .imageGb(front.imageGb())
                .estimate(TimeSpan.ZERO)
                .build());
  }

  /** The work for the answers, the same with or without a reservation. */
  private void submitAnswers() {
    for (String key : cluster.state().keysWithPrefix("q/agreed/requests/r-")) {
      reserved +=
          cluster.state().value(key) instanceof Map<?, ?> record
                  && record.get("state") instanceof Map<?, ?> state
                  && "reserved".equals(state.get("state"))
              ? 1
              : 0;
    }
    for (int i = 0; i < requests; i++) {
      Job job =
          Job.builder(new JobId("job-" + (FIRST_NUMBER + i)))
              .jobClass(ANSWERS)
              .team(front.name())
              .kind(JobKind.SERVICE)
              .priority(front.priority())
              .taskCount(TASKS_PER_REQUEST)
              .taskResources(front.taskResources())
              .spreadOverZones(true)
              .image(front.name() + "-1")
              .imageGb(front.imageGb())
              .estimate(TimeSpan.ZERO)
              .build();
      jobsOfRequests.add(job.id());
      cluster.time().after(0.05 * i, () -> cluster.users().submit(job));
    }
  }

  private void deliver() {
    jobsOfRequests.forEach(id -> cluster.users().cancel(id));
    for (int i = 0; i < cluster.state().keysWithPrefix("q/agreed/requests/r-").size(); i++) {
      int number = i;
      cluster
          .time()
          .after(0.3 * i, () -> change(number, "d", Json.object("do", "answer"), () -> {}));
    }
  }

  private void observe() {
    for (JobId id : cluster.users().submittedAt().keySet()) {
      if (seenJobs.add(id)) {
        waiting.put(id, cluster.job(id).jobClass());
      }
    }
    waiting
        .entrySet()
        .removeIf(
            entry -> {
              Job job = cluster.job(entry.getKey());
              boolean started =
                  cluster.invariants().onMachines(entry.getKey())
                      >= (job.kind() == JobKind.SERVICE ? job.taskCount() : 1);
              if (started) {
                recordWait(entry.getValue(), entry.getKey());
              }
              return started;
            });
    for (AgentSimulator worker : cluster.cloud().workers()) {
      MachineType type = cluster.spec().type(worker.machine().type());
      price +=
          (worker.machine().spot() ? type.hourlySpotPrice() : type.hourlyPrice())
              * CHECK_INTERVAL_S
              / 3600;
    }
    cluster.time().after(CHECK_INTERVAL_S, this::observe);
  }

  private void recordWait(String jobClass, JobId id) {
    waits
        .computeIfAbsent(jobClass, name -> new Histogram(3_600_000, 3))
        .recordValue(
            (long) (1000 * (cluster.time().seconds() - cluster.users().submittedAt().get(id))));
  }

  private Result play() {
    cluster.time().runUntil(DURATION_S);
    waiting.forEach((id, jobClass) -> recordWait(jobClass, id));
    return new Result(
        share,
        price,
        requests,
        reserved,
        cluster.invariants().violations().size() + wrongAnswers,
        waits);
  }

  /**
   * Runs the day of a seed with nothing reserved and with each of the given shares of all
   * processors reserved, and writes a table; returns whether all days were sound.
   */
  public static boolean play(int machines, long seed, double[] shares, PrintStream out) {
    double most = 0;
    for (double share : shares) {
      most = Math.max(most, share);
    }
    double mostShare = most;
    List<Result> results =
        IntStream.range(-1, shares.length)
            .parallel()
            .mapToObj(i -> new RequestDay(machines, seed, i < 0 ? 0 : shares[i], mostShare).play())
            .toList();
    out.printf(
        Locale.ROOT,
        "%d machines, seed %d, work for %d requests of %d tasks submitted in the middle of a flood of all other classes%n%n",
        machines,
        seed,
        results.get(0).requests,
        TASKS_PER_REQUEST);
    List<String> classes = new ArrayList<>(results.get(0).waitsMs.keySet());
    out.println(
        "| reserved | requests with room | price | "
            + String.join(
                " | ", classes.stream().map(name -> name + ": p50, p90, most (s)").toList())
            + " |");
    out.println("| --- | --- | --- |" + " --- |".repeat(classes.size()));
    for (Result result : results) {
      StringBuilder row =
          new StringBuilder(
              String.format(
                  Locale.ROOT,
                  "| %.2f | %d | %.2f |",
                  result.share,
                  result.reserved,
                  result.price));
      for (String name : classes) {
        Histogram waits = result.waitsMs.get(name);
        row.append(
            waits == null
                ? " - |"
                : String.format(
                    Locale.ROOT,
                    " %.1f, %.1f, %.1f |",
                    waits.getValueAtPercentile(50) / 1e3,
                    waits.getValueAtPercentile(90) / 1e3,
                    waits.getMaxValue() / 1e3));
      }
      out.println(row);
    }
    return results.stream().allMatch(result -> result.rulesBroken == 0);
  }
}
