package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Jobs with dependencies whose ends coincide with faults, with three controllers in virtual time.
 */
class DependencyTerminationTest {
  private static final JobId FIRST = new JobId("job-1");
  private static final JobId MIDDLE = new JobId("job-2");
  private static final JobId LAST = new JobId("job-3");
  private static final double CHECK_INTERVAL_S = 0.005;

  private SimulatedCluster cluster =
      new SimulatedCluster(ClusterSpec.tryOut(30, true), 3, Meter.OFF);

  // ---- user requests, each to a controller that the test chooses ----

  private static Job job(JobId id, int tasks, double seconds, JobId... waitsOn) {
    return Job.builder(id)
        .jobClass("pipeline")
        .team("batch")
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(tasks)
        .taskResources(new Resources(0.5, 0, 1))
        .image("img")
        .imageGb(0.2)
        .estimate(TimeSpan.ofSeconds(seconds))
        .dependencies(Set.of(waitsOn))
        .build();
  }

  private DependentJobs pipelines() {
    return cluster.environment().pipelines();
  }

  /** Submits three jobs, each depending on the one before. */
  private void submitChain(double seconds) {
    cluster.users().submit(job(FIRST, 4, seconds));
    submitLater(job(MIDDLE, 3, 2, FIRST));
    submitLater(job(LAST, 2, 2, MIDDLE));
  }

  private void submitLater(Job job) {
    pipelines()
        .submit(new DependentJobs.PipelineJob(job, DependentJobs.SubmitCondition.ONCE_ACCEPTED));
  }

  private void when(BooleanSupplier moment, Runnable what) {
    if (moment.getAsBoolean()) {
      what.run();
    } else {
      cluster.time().after(CHECK_INTERVAL_S, () -> when(moment, what));
    }
  }

  /**
   * Sends a request to a controller, and a second later to the next, until one of them answers 200
   * or 201; records all answers.
   */
  private void sendUntilAccepted(
      int node, JobId id, HttpRequest request, List<Integer> answers, Runnable then) {
    String before = cluster.invariants().lastReportedState(id);
    boolean[] answered = new boolean[1];
    cluster.sendDirectly(
        node,
        request,
        response -> {
          answered[0] = true;
          answers.add(response.status());
          if (response.status() == 200 || response.status() == 201) {
            recordState(id, response.body(), before);
            then.run();
          }
        });
    cluster
        .time()
        .after(
            1,
            () -> {
              if (!answered[0] || answers.get(answers.size() - 1) > 201) {
                sendUntilAccepted((node + 1) % cluster.nodeCount(), id, request, answers, then);
              }
            });
  }

  private void recordState(JobId id, byte[] body, String before) {
    try {
      String state = Json.parseFields(body).string("Status");
      boolean isNew = cluster.users().reportedStates().put(id, state) == null;
      cluster
          .invariants()
          .onStateReported(id, state, before, cluster.users().isCancelRequested(id));
      pipelines().onStateReported(id, state);
      if (isNew) {
        poll(id);
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Its user polls it every 3 s, at any controller. */
  private void poll(JobId id) {
    cluster
        .time()
        .after(
            3,
            () -> {
              String before = cluster.invariants().lastReportedState(id);
              cluster.sendDirectly(
                  cluster.random().nextInt(cluster.nodeCount()),
                  HttpRequest.get(JobCodec.JOBS_PATH + "/" + id),
                  response -> {
                    if (response.status() == 200) {
                      recordState(id, response.body(), before);
                    } else if (response.status() == 404) {
                      cluster.invariants().onRefused(id, response.status(), before);
                    }
                  });
              poll(id);
            });
  }

  private HttpRequest submission(Job job) {
    return HttpRequest.post(JobCodec.JOBS_PATH, Json.write(JobCodec.writeSubmission(job)));
  }

  private void cancelAt(int node, JobId id) {
    cluster.users().noteCancel(id);
    sendUntilAccepted(
        node,
        id,
        HttpRequest.post(JobCodec.JOBS_PATH + "/" + id + JobCodec.CANCEL_SUFFIX, new byte[0]),
        new ArrayList<>(),
        () -> {});
  }

  private boolean isDurably(String phase, JobId id) {
    return cluster.state().value("q/job/" + id) instanceof Map<?, ?> record
        && phase.equals(record.get("phase"));
  }

  private String reportedState(JobId id) {
    return cluster.users().reportedStates().get(id);
  }

  private int other(int node) {
    return (node + 1) % cluster.nodeCount();
  }

  /** All three jobs have ended, the later ones in the same state as the first. */
  private void assertSameEndState(double untilS) {
    cluster.time().runUntil(untilS);
    assertEquals(List.of(), cluster.invariants().violations());
    String first = reportedState(FIRST);
    assertTrue(Set.of("done", "cancelled").contains(first), first);
    assertEquals(List.of(first, first), List.of(reportedState(MIDDLE), reportedState(LAST)));
    assertEquals(first.equals("done") ? 3 : 0, cluster.invariants().completedTasks(MIDDLE));
  }

  // ---- the ends of jobs ----

  /**
   * The last task of a job ends as the job is cancelled at a controller other than the leader, and
   * the leader fails.
   */
  @ParameterizedTest
  @CsvSource({"-0.02, 0.01", "0, 0", "0, 0.02", "0.05, -0.03", "0.2, 0.1", "0.6, 0.05", "1, 0"})
  void completionDuringCancellationHasOneOutcome(double cancelAfterS, double endAfterS) {
    int[] leader = new int[1];
    cluster.time().at(10, () -> submitChain(6));
    cluster
        .time()
        .at(
            10,
            () ->
                when(
                    () -> cluster.invariants().isComplete(FIRST),
                    () -> {
                      leader[0] = cluster.leader();
                      cluster
                          .time()
                          .after(
                              Math.max(0, cancelAfterS), () -> cancelAt(other(leader[0]), FIRST));
                      cluster
                          .time()
                          .after(
                              Math.max(0, cancelAfterS + endAfterS),
                              () -> cluster.crash(leader[0]));
                    }));
    assertSameEndState(140);
  }

  /**
   * The leader fails once a job is durably done, before it releases the next one; the first write
   * of the next leader is applied late.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.005, 0.02, 0.1})
  void dependentsRunAfterLeaderFailure(double laterS) {
    boolean[] ended = new boolean[1];
    int[] late = new int[1];
    double[] doneAt = new double[1];
    cluster
        .state()
        .delayTransactions(
            transaction ->
                ended[0] && transaction.contains("q/alloc") && late[0]++ < 1
                    ? 6
                    : DelayedTransactions.PROMPT);
    cluster.time().at(10, () -> submitChain(6));
    cluster
        .time()
        .at(
            10,
            () ->
                when(
                    () -> isDurably("done", FIRST),
                    () ->
                        cluster
                            .time()
                            .after(
                                laterS,
                                () -> {
                                  doneAt[0] = cluster.time().seconds();
                                  ended[0] = true;
                                  cluster.crash(cluster.leader());
                                })));
    cluster
        .time()
        .at(
            10,
            () ->
                when(
                    () -> cluster.invariants().onMachines(MIDDLE) > 0,
                    () ->
                        assertTrue(
                            cluster.time().seconds() - doneAt[0] < 25,
                            "released after " + (cluster.time().seconds() - doneAt[0]))));
    assertSameEndState(140);
    assertEquals("done", reportedState(LAST));
  }

  /** A job that only fails keeps all of its dependents waiting until it is cancelled. */
  @Test
  void dependentsOfFailingJobWaitUntilCancelled() {
    cluster
        .time()
        .at(
            10,
            () -> {
              cluster.users().submitMisconfigured(job(FIRST, 4, 5));
              submitLater(job(MIDDLE, 3, 2, FIRST));
              submitLater(job(LAST, 2, 2, MIDDLE));
            });
    cluster.time().at(60, () -> cluster.crash(cluster.leader()));
    cluster
        .time()
        .at(
            80,
            () ->
                assertEquals(
                    List.of("queued", "queued"),
                    List.of(reportedState(MIDDLE), reportedState(LAST))));
    cluster.time().at(80, () -> cancelAt(other(cluster.leader()), FIRST));
    assertSameEndState(140);
    assertEquals("cancelled", reportedState(LAST));
    assertTrue(cluster.users().misconfiguredAttempts().get(FIRST) > 0);
  }

  // ---- submissions ----

  /**
   * The answer to a submission is lost, another controller answers that the job is known, and a
   * third one receives a dependent of it at once.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void dependentIsAcceptedAfterLostAnswer(int node) {
    List<Integer> answers = new ArrayList<>();
    Job first = job(FIRST, 4, 4);
    Job middle = job(MIDDLE, 3, 2, FIRST);
    cluster
        .time()
        .at(
            10,
            () -> {
              cluster.users().upload(first);
              cluster.sendDirectly(node, submission(first), lost -> {});
              when(
                  () ->
                      cluster.state().keysWithPrefix("q/").stream()
                          .anyMatch(key -> key.contains("bundle") || key.equals("q/job/job-1")),
                  () ->
                      sendUntilAccepted(
                          other(node),
                          FIRST,
                          submission(first),
                          new ArrayList<>(),
                          () -> submitTo(other(other(node)), middle, answers)));
            });
    cluster.time().runUntil(60);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(List.of(201), answers);
    assertEquals("done", reportedState(MIDDLE));
  }

  /**
   * A controller that cannot read what was accepted elsewhere reports the job neither as accepted
   * nor as unknown.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void controllerWithoutRecordsRefusesTemporarily(int isolated) {
    List<Integer> answers = new ArrayList<>();
    Job first = job(FIRST, 4, 4);
    cluster.time().at(10, () -> cluster.state().refuse(ClusterSpec.nodeName(isolated), 6));
    cluster
        .time()
        .at(
            10.5,
            () -> {
              cluster.users().upload(first);
              sendUntilAccepted(
                  other(isolated),
                  FIRST,
                  submission(first),
                  new ArrayList<>(),
                  () -> submitTo(isolated, job(MIDDLE, 3, 2, FIRST), answers));
            });
    cluster.time().runUntil(60);
    assertEquals(List.of(), cluster.invariants().violations());
    assertTrue(
        !answers.contains(422) && !answers.contains(400) && answers.contains(201),
        answers.toString());
    assertEquals("done", reportedState(MIDDLE));
  }

  private void submitTo(int node, Job job, List<Integer> answers) {
    // Known to the invariants like any other job, but at first submitted to this controller only.
    cluster.users().upload(job);
    pipelines().submitted(job);
    sendUntilAccepted(node, job.id(), submission(job), answers, () -> {});
  }

  /**
   * At the moment when a job is durably cancelled or done, and before and after it, each controller
   * receives jobs that depend on it.
   */
  @ParameterizedTest
  @CsvSource({
    "done, 0",
    "done, 0.01",
    "done, 0.3",
    "cancelled, -0.02",
    "cancelled, 0",
    "cancelled, 0.01",
    "cancelled, 0.3",
    "cancelled, 45"
  })
  void dependentsSubmittedAtEndOfJobAreHandled(String end, double laterS) {
    List<JobId> next =
        IntStream.range(100, 103).mapToObj(number -> new JobId("job-" + number)).toList();
    List<Integer> answers = new ArrayList<>();
    Runnable submit =
        () -> next.forEach(id -> submitTo(next.indexOf(id), job(id, 2, 2, FIRST), answers));
    cluster
        .time()
        .at(10, () -> cluster.users().submit(job(FIRST, 4, end.equals("done") ? 6 : 200)));
    if (end.equals("cancelled")) {
      cluster.time().at(20, () -> cancelAt(other(cluster.leader()), FIRST));
      if (laterS < 0) {
        cluster.time().at(20 + laterS, submit);
      }
    }
    if (laterS >= 0) {
      cluster
          .time()
          .at(
              10,
              () -> when(() -> isDurably(end, FIRST), () -> cluster.time().after(laterS, submit)));
    }
    cluster.time().runUntil(100);
    assertEquals(List.of(), cluster.invariants().violations());
    assertTrue(
        answers.size() >= next.size() && Set.of(200, 201).containsAll(answers), answers.toString());
    next.forEach(id -> assertEquals(end, reportedState(id), id.text()));
  }

  // ---- many jobs ----

  /**
   * The root of 2,000 jobs in 30 levels is cancelled, and at once the state service is down for
   * longer than the cancellation timeout.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void cascadeIsCancelledDespiteOutage(boolean allEnd) {
    int jobs = 2000;
    int depth = 30;
    Random random = new Random(8);
    List<JobId> all = new ArrayList<>();
    cluster
        .time()
        .at(
            10,
            () -> {
              cluster.users().submit(job(FIRST, 4, 400));
              List<JobId> layer = List.of(FIRST);
              for (int level = 1; level < depth; level++) {
                List<JobId> next = new ArrayList<>();
                for (int i = 0; i < jobs / (depth - 1); i++) {
                  JobId id = new JobId("job-" + (10_000 + all.size()));
                  Set<JobId> names = new TreeSet<>();
                  for (int n = 0; n < 1 + random.nextInt(2); n++) {
                    names.add(layer.get(random.nextInt(layer.size())));
                  }
                  submitLater(job(id, 1, 2, names.toArray(JobId[]::new)));
                  next.add(id);
                  all.add(id);
                }
                layer = next;
              }
            });
    boolean[] out = new boolean[1];
    cluster
        .time()
        .at(
            80,
            () -> {
              assertTrue(
                  cluster.users().reportedStates().keySet().containsAll(all),
                  cluster.users().reportedStates().size() + " accepted");
              cancelAt(other(cluster.leader()), FIRST);
              when(
                  () -> "cancelled".equals(reportedState(FIRST)),
                  () -> {
                    out[0] = true;
                    cluster.state().outage(50);
                    if (allEnd) {
                      cluster
                          .time()
                          .after(
                              55,
                              () ->
                                  IntStream.range(0, cluster.nodeCount()).forEach(cluster::crash));
                    }
                  });
            });
    cluster.time().runUntil(150);
    assertTrue(out[0]);
    cluster.time().runUntil(175);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(
        List.of(), all.stream().filter(id -> !"cancelled".equals(reportedState(id))).toList());
    assertEquals(0, all.stream().mapToInt(cluster.invariants()::completedTasks).sum());
  }

  /**
   * A job with 1,000 dependencies and a job with 1,000 dependents, while the leader fails and a
   * controller restarts.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void handlesThousandDependenciesAndDependents(boolean cancels) {
    List<JobId> many =
        IntStream.range(0, 1000).mapToObj(i -> new JobId("job-" + (10_000 + i))).toList();
    List<JobId> after =
        IntStream.range(0, 1000).mapToObj(i -> new JobId("job-" + (20_000 + i))).toList();
    cluster
        .time()
        .at(
            10,
            () -> {
              many.forEach(id -> cluster.users().submit(job(id, 1, 1)));
              submitLater(job(FIRST, 1, 2, many.toArray(JobId[]::new)));
              after.forEach(id -> submitLater(job(id, 1, 1, FIRST)));
            });
    cluster.time().at(25, () -> cluster.crash(cluster.leader()));
    cluster.time().at(30, () -> cluster.crash(other(cluster.leader())));
    if (cancels) {
      when(
          () -> cluster.invariants().isComplete(many.get(500)),
          () -> cluster.users().cancel(many.get(999)));
    }
    cluster.time().runUntil(200);
    assertEquals(List.of(), cluster.invariants().violations());
    String last = reportedState(FIRST);
    assertEquals(Set.of(last), Set.copyOf(after.stream().map(this::reportedState).toList()));
    assertEquals(reportedState(many.get(999)), last);
  }
}
