package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.state.JobRecord;
import org.quincecross.state.StoreKeys;

/** Jobs with dependencies, with three controllers and failures, in virtual time. */
@Timeout(120)
class DependencyCasesTest {
  private static final double CHECK_INTERVAL_S = 0.05;

  private final SimulatedCluster cluster = new SimulatedCluster(ClusterSpec.small(), 40, Meter.OFF);
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, Double> cancelledAt = new HashMap<>();

  /** The jobs whose own cancellation was requested. */
  private final Set<JobId> cancelRequested = new HashSet<>();

  private final List<String> findings = new ArrayList<>();

  private static JobId id(int number) {
    return new JobId("job-" + number);
  }

  private static Job job(int number, JobKind kind, int tasks, double cpus, Integer... after) {
    return Job.builder(id(number))
        .jobClass("stage")
        .team(number % 2 == 0 ? "red" : "blue")
        .kind(kind)
        .priority(kind == JobKind.SERVICE ? Priority.PRODUCTION : Priority.LOW)
        .taskCount(tasks)
        .taskResources(new Resources(cpus, 0, 1))
        .image("img")
        .imageGb(0.2)
        .estimate(TimeSpan.ofSeconds(3))
        .dependencies(Set.copyOf(Arrays.stream(after).map(DependencyCasesTest::id).toList()))
        .build();
  }

  private static Job job(int number, Integer... after) {
    return job(number, JobKind.ARRAY, 4, 1, after);
  }

  /** Submits a job, to any controller, as soon as its dependencies were accepted. */
  private void submitWhenKnown(Job job) {
    jobs.put(job.id(), job);
    if (allDependencies(job.id()).stream().anyMatch(cancelRequested::contains)) {
      cluster.users().noteCancel(job.id());
    }
    if (cluster.users().reportedStates().keySet().containsAll(job.dependencies())) {
      cluster.users().submit(job);
    } else {
      cluster.time().after(0.05, () -> submitWhenKnown(job));
    }
  }

  private Set<JobId> allDependencies(JobId id) {
    Set<JobId> all = new LinkedHashSet<>();
    for (JobId before : jobs.get(id).dependencies()) {
      all.add(before);
      all.addAll(jobs.containsKey(before) ? allDependencies(before) : Set.of());
    }
    return all;
  }

  /** Cancels a job; its dependents are cancelled with it. */
  private void cancel(JobId id) {
    cancelRequested.add(id);
    jobs.keySet().stream()
        .filter(other -> allDependencies(other).contains(id))
        .forEach(cluster.users()::noteCancel);
    cluster.users().cancel(id);
  }

  private boolean isDone(JobId id) {
    return cluster.invariants().completedTasks(id) == jobs.get(id).taskCount();
  }

  private void checkAll() {
    Map<JobId, String> told = cluster.users().reportedStates();
    for (JobId id : jobs.keySet()) {
      Set<JobId> before = allDependencies(id);
      if (cluster.invariants().onMachines(id) > 0 && !before.stream().allMatch(this::isDone)) {
        findings.add("too early at " + cluster.time().seconds() + ": " + id);
      }
      if ("cancelled".equals(told.get(id))) {
        cancelledAt.putIfAbsent(id, cluster.time().seconds());
      }
      for (JobId each : before) {
        Double since = cancelledAt.get(each);
        if (since != null
            && told.containsKey(id)
            && !"cancelled".equals(told.get(id))
            && cluster.time().seconds()
                > since + cluster.spec().workers().cancelTimeout().seconds()) {
          findings.add("orphaned at " + cluster.time().seconds() + ": " + id);
        }
      }
    }
  }

  private void runUntil(double seconds) {
    while (cluster.time().seconds() < seconds) {
      cluster.time().runUntil(cluster.time().seconds() + CHECK_INTERVAL_S);
      checkAll();
    }
    assertEquals(List.of(), findings);
    assertEquals(List.of(), cluster.invariants().violations());
  }

  private void assertReported(String state, Integer... numbers) {
    for (int number : numbers) {
      assertEquals(state, cluster.users().reportedStates().get(id(number)), id(number).text());
    }
  }

  private void submitDiamond(int first) {
    submitWhenKnown(job(first));
    submitWhenKnown(job(first + 1, first));
    submitWhenKnown(job(first + 2, JobKind.GANG, 2, 1, first));
    submitWhenKnown(job(first + 3, first + 1, first + 2, first + 2));
    submitWhenKnown(job(first + 4, first + 3, first));
  }

  /**
   * A chain and a diamond while the leader fails, or all controllers do, each time that a job is
   * done: before that is durable, or between then and the plan that releases the next job.
   */
  @ParameterizedTest
  @CsvSource({
    "NONE, 0",
    "LEADER, 0.01",
    "LEADER, 0.06",
    "LEADER, 0.15",
    "ALL, 0.02",
    "ALL, 0.3",
    "LATE, 5"
  })
  void jobsRunOnceDependenciesAreDone(String what, double after) {
    Set<String> seen = new HashSet<>();
    if (what.equals("LATE")) {
      cluster
          .state()
          .delayTransactions(
              txn ->
                  txn.contains("\"done\"")
                          && txn.contains("q/job/")
                          && cluster.random().nextInt(3) == 0
                      ? after
                      : DelayedTransactions.PROMPT);
    }
    cluster.time().at(6, () -> submitDiamond(1));
    cluster.time().at(8, () -> submitDiamond(101));
    for (double at = 6; at < 80; at += CHECK_INTERVAL_S) {
      cluster
          .time()
          .at(
              at,
              () -> {
                Set<String> done =
                    new HashSet<>(
                        cluster.state().keysWithPrefix("q/job/").stream()
                            .filter(
                                key ->
                                    String.valueOf(cluster.state().value(key))
                                        .contains("phase=done"))
                            .toList());
                if (seen.addAll(done) && !what.equals("NONE")) {
                  cluster
                      .time()
                      .after(
                          after,
                          () -> {
                            for (int node = 0;
                                node < cluster.nodeCount() && !what.equals("LATE");
                                node++) {
                              if (what.equals("ALL") || node == cluster.leader()) {
                                cluster.crash(node);
                              }
                            }
                          });
                }
              });
    }
    runUntil(what.equals("NONE") ? 60 : 160);
    assertReported("done", 1, 2, 3, 4, 5, 101, 102, 103, 104, 105);
  }

  /**
   * At each stage one job is cancelled, and in some cases the leader fails at that moment; its
   * dependents are cancelled, and the other jobs complete.
   */
  @ParameterizedTest
  @CsvSource({
    "1, 6.5, false",
    "1, 10, true",
    "2, 12.5, true",
    "2, 15, false",
    "4, 7, false",
    "4, 18, true"
  })
  void dependentsOfCancelledJobAreCancelled(int which, double at, boolean leaderEnds) {
    cluster.time().at(6, () -> submitDiamond(1));
    cluster
        .time()
        .at(
            at,
            () -> {
              cancel(id(which));
              if (leaderEnds) {
                cluster.crash(cluster.leader());
              }
            });
    cluster.time().at(25, () -> submitWhenKnown(job(9, which, 1)));
    runUntil(110);
    boolean wasDone = "done".equals(cluster.users().reportedStates().get(id(which)));
    for (JobId id : jobs.keySet()) {
      boolean needs = id.equals(id(which)) || allDependencies(id).contains(id(which));
      assertEquals(
          needs && !wasDone ? "cancelled" : "done",
          cluster.users().reportedStates().get(id),
          id.text());
    }
  }

  private void post(int node, Job job, Consumer<HttpResponse> reply) {
    cluster.sendDirectly(
        node,
        HttpRequest.post(JobCodec.JOBS_PATH, Json.write(JobCodec.writeSubmission(job))),
        reply);
  }

  /** Like a user, retries as long as it is told to. */
  private void postUntilAccepted(int node, Job job, Consumer<HttpResponse> reply) {
    post(
        node,
        job,
        answer -> {
          if (answer.status() == 503) {
            cluster.time().after(1, () -> postUntilAccepted(node, job, reply));
          } else {
            reply.accept(answer);
          }
        });
  }

  /**
   * A job accepted a moment ago by another controller is known; a job that nobody accepted is
   * reported as unknown, but only if that is certain.
   */
  @Test
  void dependenciesAreLookedUpInDurableRecords() {
    Map<String, Integer> answers = new TreeMap<>();
    Map<String, Integer> refusals = new TreeMap<>();
    // 200 counts like 201: jobs that were accepted together are looked up.
    Consumer<HttpResponse> count =
        answer ->
            answers.merge(
                answer.status() < 300 ? "accepted" : "" + answer.status(), 1, Integer::sum);
    for (int i = 0; i < 60; i++) {
      int number = 10 * i;
      cluster
          .time()
          .at(
              10 + 0.31 * i,
              () ->
                  post(
                      number % 3,
                      job(number),
                      first -> {
                        assertTrue(first.status() < 300, "" + first.status());
                        postUntilAccepted((number + 1) % 3, job(number + 1, number), count);
                        postUntilRefused((number + 2) % 3, job(number + 2, number + 9), refusals);
                      }));
    }
    cluster.time().runUntil(35);
    assertEquals(Map.of("accepted", 60), answers);
    assertEquals(60, refusals.get("422"));
    cluster.time().at(36, () -> postUntilRefused(0, job(901, 0, 902), refusals));
    cluster.time().at(37, () -> postUntilRefused(0, job(903, 903), refusals));
    cluster
        .time()
        .at(
            37.2,
            () ->
                post(
                    0,
                    job(906, JobKind.SERVICE, 1, 1),
                    answer -> assertTrue(answer.status() < 300)));
    cluster.time().at(37.5, () -> postUntilRefused(0, job(907, 906), refusals));
    cluster
        .time()
        .at(
            38,
            () ->
                post(
                    1, job(1, 999, 1), count)); // accepted before, whatever the repetition contains
    cluster.time().at(50, () -> cluster.state().outage(6));
    cluster.time().at(51, () -> post(0, job(904, 905), count));
    cluster.time().runUntil(60);
    assertEquals(Map.of("accepted", 61, "503", 1), answers);
    assertEquals(63, refusals.get("422"));
    assertTrue(
        refusals.getOrDefault("503", 0) <= 4,
        refusals.toString()); // one packet in a hundred takes seconds
    assertEquals(List.of(), cluster.invariants().violations());
  }

  /**
   * A controller that is not certain may answer so, and the request is retried; the final answer is
   * 422, never an acceptance.
   */
  private void postUntilRefused(int node, Job job, Map<String, Integer> refusals) {
    post(
        node,
        job,
        answer -> {
          assertTrue(Set.of(422, 503).contains(answer.status()), "" + answer.status());
          refusals.merge("" + answer.status(), 1, Integer::sum);
          if (answer.status() == 503) {
            cluster.time().after(1, () -> postUntilRefused(node, job, refusals));
          }
        });
  }

  private void pollUntilAnswered(int number, Consumer<String> told) {
    cluster.sendDirectly(
        number % cluster.nodeCount(),
        HttpRequest.get(JobCodec.JOBS_PATH + "/" + id(number)),
        answer -> {
          if (answer.status() == 503) {
            cluster.time().after(1, () -> pollUntilAnswered(number, told));
          } else {
            told.accept(
                new String(answer.body(), StandardCharsets.UTF_8)
                    .replaceAll(".*\"Status\":\"([a-z]*)\".*", "$1"));
          }
        });
  }

  /**
   * The first job of a chain of 2,000 is cancelled while no changes can be written; once that is
   * confirmed, each controller reports all others as cancelled.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void longChainIsCancelledWithItsFirstJob(boolean allRestart) throws MalformedMessageException {
    int length = 2000;
    cluster.environment().tasks().runsLonger(id(0).task(0), 300);
    submitWhenKnown(job(0, JobKind.ARRAY, 2, 1));
    runUntil(5);
    for (int i = 1; i < length; i++) {
      Job job = job(i, i - 1);
      jobs.put(job.id(), job);
      cluster.users().upload(job);
      cluster
          .state()
          .write(
              StoreKeys.job(job.id()),
              Json.parse(
                  Json.write(JobRecord.writeOpen(job, (long) (SimulatedCluster.EPOCH_S * 1000)))));
    }
    cluster.time().at(6, () -> cluster.state().outage(9));
    cluster.time().at(7, () -> cluster.users().cancel(id(0)));
    if (allRestart) {
      cluster
          .time()
          .at(
              8,
              () -> {
                for (int node = 0; node < cluster.nodeCount(); node++) {
                  cluster.crash(node);
                }
              });
    }
    while (!"cancelled".equals(cluster.users().reportedStates().get(id(0)))) {
      cluster.time().runUntil(cluster.time().seconds() + 0.1);
      assertTrue(cluster.time().seconds() < 90, "never reported");
    }
    Map<String, Integer> said = new TreeMap<>();
    double until = cluster.time().seconds() + cluster.spec().workers().cancelTimeout().seconds();
    for (int i = 0; i < length; i++) {
      int number = i;
      cluster
          .time()
          .after(
              1 + 0.01 * i,
              () -> pollUntilAnswered(number, state -> said.merge(state, 1, Integer::sum)));
    }
    cluster.time().runUntil(until);
    assertEquals(Map.of("cancelled", length), said);
    assertEquals(
        1,
        cluster.state().keysWithPrefix("q/job/").stream()
            .filter(key -> String.valueOf(cluster.state().value(key)).contains("phase=cancelled"))
            .count());
    assertEquals(List.of(), cluster.invariants().violations());
  }

  /**
   * One job depends on 600, and 600 depend on that one; the first names more than fit in a record.
   */
  @Test
  void acceptsManyDependenciesAndManyDependents() {
    int many = 600;
    Integer[] all = new Integer[many];
    for (int i = 0; i < many; i++) {
      all[i] = 10_000 + i;
      Job first = job(10_000 + i, JobKind.ARRAY, 1, 0.1);
      cluster.time().at(5 + 0.02 * i, () -> submitWhenKnown(first));
    }
    cluster.time().at(6, () -> submitWhenKnown(job(1, JobKind.ARRAY, 1, 0.1, all)));
    for (int i = 0; i < many; i++) {
      Job last = job(20_000 + i, JobKind.ARRAY, 1, 0.1, 1);
      cluster.time().at(20 + 0.02 * i, () -> submitWhenKnown(last));
    }
    cluster.time().at(30, () -> cluster.crash(cluster.leader()));
    cluster.time().runUntil(150);
    checkAll();
    assertEquals(List.of(), findings);
    assertEquals(List.of(), cluster.invariants().violations());
    assertTrue(cluster.state().keysWithPrefix("q/after/").size() > 1);
    assertEquals(
        Map.of("done", 2L * many + 1),
        cluster.users().reportedStates().values().stream()
            .collect(Collectors.groupingBy(state -> state, Collectors.counting())));
  }
}
