package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Simulates the users who submit jobs, ask about them and cancel some, each over a connection to
 * one of the controllers.
 */
final class UserSimulator {
  /** More than one chunk of the completed-task records holds. */
  private static final int TASKS_OF_LARGE_ARRAY = 4500;

  private static final double SUBMIT_TIMEOUT_S = 5;
  private static final double POLL_TIMEOUT_S = 2;
  private static final double SUBMISSION_RETRY_LIMIT_S = 60;
  private static final double MAX_RETRY_AFTER_S = 30;
  private static final double POLL_INTERVAL_S = 3;
  private static final double POLL_INTERVAL_LARGE_S = 5;

  /** The requests that users send about a job that they know. */
  enum RequestKind {
    STATE,
    AGAIN,
    CANCEL
  }

  /** What happens to a job as its user sees it; the last three each occur once. */
  enum JobEvent {
    ACCEPTED,
    LAST_TASK_ENDED,
    TOLD_DONE,
    TOLD_CANCELLED
  }

  /** A random controller, or the one that the load balancer chooses. */
  private static final int ANY_NODE = -1;

  private final ClusterEnvironment environment;
  private final Random random;
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final Map<JobId, String> reportedStates = new TreeMap<>();
  private final Map<JobId, Boolean> cancelRequested = new HashMap<>();
  private final Map<JobId, Double> submittedAt = new HashMap<>();
  private final Map<JobId, Double> acceptedAfter = new HashMap<>();
  private final Map<JobId, Double> overAfter = new HashMap<>();
  private final Map<String, Integer> answers = new TreeMap<>();
  private final Map<String, Double> longestResponseS = new TreeMap<>();
  private final Map<JobId, Integer> misconfiguredAttempts = new TreeMap<>();
  private final PollLiveness polls;
  private final List<BiConsumer<JobEvent, JobId>> listeners = new ArrayList<>();
  private double pollFactor = 1;
  private LoadBalancerSimulator loadBalancer;

  UserSimulator(ClusterEnvironment environment) {
    this.environment = environment;
    this.random = environment.random();
    this.polls = new PollLiveness(environment.clock());
  }

  /**
   * From now on users go through the load balancer, each over a connection of its own that is kept
   * as long as possible.
   */
  LoadBalancerSimulator useLoadBalancer() {
    loadBalancer = new LoadBalancerSimulator(environment);
    return loadBalancer;
  }

  /** When requests were sent and answered, by job. */
  PollLiveness polls() {
    return polls;
  }

  Job job(JobId id) {
    return jobs.get(id);
  }

  /** Registers a listener for job events. */
  void addListener(BiConsumer<JobEvent, JobId> watcher) {
    listeners.add(watcher);
  }

  void publish(JobEvent moment, JobId id) {
    listeners.forEach(each -> each.accept(moment, id));
  }

  /** Whether a job was accepted and its user does not know that it is over. */
  boolean isOpen(JobId id) {
    String state = reportedStates.get(id);
    return state != null && !state.equals("done") && !state.equals("cancelled");
  }

  /** Whether somebody has asked for a job to be cancelled. */
  boolean isCancelRequested(JobId id) {
    return cancelRequested.containsKey(id);
  }

  /** Makes a job known to the machines that will run it, as its user's upload does. */
  void upload(Job job) {
    jobs.put(job.id(), job);
  }

  /** Submits a job that fails on every machine as soon as it runs. */
  JobId submitMisconfigured(Job job) {
    misconfiguredAttempts.put(job.id(), 0);
    return submit(job);
  }

  boolean isMisconfigured(JobId id) {
    return misconfiguredAttempts.containsKey(id);
  }

  void onMisconfiguredAttempt(JobId id) {
    misconfiguredAttempts.merge(id, 1, Integer::sum);
  }

  /** The number of attempts of tasks of each misconfigured job. */
  Map<JobId, Integer> misconfiguredAttempts() {
    return misconfiguredAttempts;
  }

  /** For a while users poll {@code factor} times as often, and equally often for unknown jobs. */
  void multiplyPolls(double factor, double seconds) {
    pollFactor = factor;
    askForUnknown(environment.clock().seconds() + seconds);
    environment.clock().after(seconds, () -> pollFactor = 1);
  }

  private void askForUnknown(double untilS) {
    if (environment.clock().seconds() < untilS) {
      JobId id = new JobId("job-" + (800_000 + random.nextInt(100_000)));
      send(
          "strangers",
          "poll unknown",
          HttpRequest.get(JobCodec.JOBS_PATH + "/" + id),
          POLL_TIMEOUT_S,
          outcome -> {
            if (outcome.status() == 200) {
              throw new IllegalStateException(
                  "a controller reported a job that nobody submitted: " + id);
            }
          });
      environment
          .clock()
          .after(
              POLL_INTERVAL_S / pollFactor / Math.max(1, reportedStates.size()),
              () -> askForUnknown(untilS));
    }
  }

  /** The number of jobs submitted. */
  int submitted() {
    return submittedAt.size();
  }

  /** The last state that users were told, by accepted job. */
  Map<JobId, String> reportedStates() {
    return reportedStates;
  }

  /** The time of the first submission of each job. */
  Map<JobId, Double> submittedAt() {
    return submittedAt;
  }

  /** The time from the first attempt to the acceptance of each accepted job, in seconds. */
  Map<JobId, Double> acceptedAfter() {
    return acceptedAfter;
  }

  /** The time from the first attempt until a user heard that the job is done, in seconds. */
  Map<JobId, Double> overAfter() {
    return overAfter;
  }

  /** The number of answers of each kind, such as {@code submit 201}; status 0 is a timeout. */
  Map<String, Integer> answers() {
    return answers;
  }

  /** The longest response time of each kind of request, in seconds. */
  Map<String, Double> longestResponseS() {
    return longestResponseS;
  }

  /** Submits one service replica that runs until it is cancelled. */
  JobId submitService(int number) {
    return submit(
        Job.builder(new JobId("job-" + number))
            .jobClass("service")
            .team("red")
            .kind(JobKind.SERVICE)
            .priority(Priority.PRODUCTION)
            .taskCount(1)
            .taskResources(new Resources(1, 0, 2))
            .image("img-0")
            .imageGb(1)
            .estimate(TimeSpan.ZERO)
            .build());
  }

  /** Submits a gang each of whose tasks takes most of a machine. */
  JobId submitLargeGang(int number, int tasks) {
    return submit(
        Job.builder(new JobId("job-" + number))
            .jobClass("gang")
            .team("red")
            .kind(JobKind.GANG)
            .priority(Priority.NORMAL)
            .taskCount(tasks)
            .taskResources(new Resources(5, 0, 2))
            .singleZone(true)
            .image("img-0")
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(20))
            .build());
  }

  /** Submits one array of long tasks. */
  JobId submitArray(int number, int tasks) {
    return submit(
        Job.builder(new JobId("job-" + number))
            .jobClass("array")
            .team("red")
            .kind(JobKind.ARRAY)
            .priority(Priority.NORMAL)
            .taskCount(tasks)
            .taskResources(new Resources(4, 0, 2))
            .allowsSpot(true)
            .image("img-0")
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(300))
            .build());
  }

  /**
   * Submits an array of short tasks with more tasks than a chunk of the completed-task records
   * holds.
   */
  JobId submitManyTasks(int number) {
    return submit(
        Job.builder(new JobId("job-" + number))
            .jobClass("many")
            .team("red")
            .kind(JobKind.ARRAY)
            .priority(Priority.NORMAL)
            .taskCount(TASKS_OF_LARGE_ARRAY)
            .taskResources(new Resources(0.25, 0, 0.5))
            .allowsSpot(true)
            .image("img-0")
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(1))
            .build());
  }

  JobId submit(Job job) {
    jobs.put(job.id(), job);
    submittedAt.put(job.id(), environment.clock().seconds());
    environment.pipelines().submitted(job);
    sendSubmission(job, environment.clock().seconds());
    return job.id();
  }

  /** Submits a job of a random kind; some are cancelled later, services always. */
  void submit(int number) {
    JobKind kind =
        random.nextInt(4) == 0
            ? JobKind.SERVICE
            : random.nextInt(5) == 0 ? JobKind.GANG : JobKind.ARRAY;
    boolean wide = kind == JobKind.GANG && random.nextInt(3) == 0;
    int tasks =
        kind == JobKind.ARRAY
            ? 1 + random.nextInt(8)
            : wide ? 2 + random.nextInt(2) : 1 + random.nextInt(2);
    boolean spread = kind == JobKind.SERVICE && random.nextBoolean();
    boolean saves = kind != JobKind.SERVICE && random.nextInt(3) == 0;
    Job job =
        Job.builder(new JobId("job-" + number))
            .jobClass(kind.name())
            .team(random.nextInt(3) == 0 && !wide ? "blue" : "red")
            .kind(kind)
            .priority(
                kind == JobKind.SERVICE
                    ? Priority.PRODUCTION
                    : random.nextBoolean() ? Priority.NORMAL : Priority.LOW)
            .taskCount(tasks)
            .taskResources(new Resources(wide ? 5 : 1 + random.nextInt(3), 0, 2))
            .singleZone(kind == JobKind.GANG && tasks > 1)
            .spreadOverZones(spread)
            .allowsSpot(kind != JobKind.SERVICE && random.nextBoolean())
            .image("img-" + random.nextInt(3))
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(2 + random.nextInt(15)))
            .checkpointInterval(saves ? TimeSpan.ofSeconds(3) : TimeSpan.ZERO)
            .checkpointCost(saves ? TimeSpan.ofSeconds(0.5 + random.nextDouble()) : TimeSpan.ZERO)
            .build();
    submit(job);
    if (kind == JobKind.SERVICE || random.nextInt(4) == 0) {
      environment.clock().after(1 + random.nextDouble() * 60, () -> cancel(job.id()));
    }
  }

  // ---- requests ----

  private void sendSubmission(Job job, double since) {
    HttpRequest request =
        HttpRequest.post(JobCodec.JOBS_PATH, Json.write(JobCodec.writeSubmission(job)));
    String before = environment.invariants().lastReportedState(job.id());
    send(
        job.id(),
        "submit",
        request,
        SUBMIT_TIMEOUT_S,
        outcome -> {
          double now = environment.clock().seconds();
          if (recordAnswer(job.id(), outcome, before)) {
            acceptedAfter.putIfAbsent(job.id(), now - since);
            polls.accepted(job.id());
            environment.pipelines().onSubmissionAnswered(job.id(), outcome.status());
            environment.clock().after(2, () -> poll(job.id()));
            publish(JobEvent.ACCEPTED, job.id());
          } else if (outcome.status() != 400
              && outcome.status() != 422
              && now - since < SUBMISSION_RETRY_LIMIT_S) {
            environment
                .clock()
                .after(Math.max(1, retryAfter(outcome)), () -> sendSubmission(job, since));
          } else {
            environment.pipelines().onSubmissionAnswered(job.id(), outcome.status());
          }
        });
  }

  /** Submits an accepted job once more, as a delayed retry may arrive at any time. */
  void submitAgain(JobId id) {
    sendOnce(ANY_NODE, RequestKind.AGAIN, id, outcome -> {});
  }

  /** Sends one request about an accepted job to one of the controllers, without retry. */
  void sendOnce(int node, RequestKind what, JobId id) {
    sendOnce(node, what, id, outcome -> {});
  }

  private void sendOnce(int node, RequestKind what, JobId id, Consumer<HttpOutcome> done) {
    String before = environment.invariants().lastReportedState(id);
    HttpRequest request =
        switch (what) {
          case STATE -> HttpRequest.get(JobCodec.JOBS_PATH + "/" + id);
          case AGAIN ->
              HttpRequest.post(
                  JobCodec.JOBS_PATH, Json.write(JobCodec.writeSubmission(jobs.get(id))));
          case CANCEL ->
              HttpRequest.post(JobCodec.JOBS_PATH + "/" + id + JobCodec.CANCEL_SUFFIX, new byte[0]);
        };
    String kind =
        switch (what) {
          case STATE -> "poll";
          case AGAIN -> "submit";
          case CANCEL -> "cancel";
        };
    if (what == RequestKind.CANCEL && !"done".equals(before)) {
      noteCancel(id);
    }
    send(
        node,
        id,
        kind,
        request,
        what == RequestKind.STATE ? POLL_TIMEOUT_S : SUBMIT_TIMEOUT_S,
        outcome -> {
          recordAnswer(id, outcome, before);
          done.accept(outcome);
        });
  }

  /** Sends a request that concerns no job of these users, to any controller. */
  void request(String kind, HttpRequest request, Consumer<HttpOutcome> done) {
    send(ANY_NODE, "strangers", kind, request, SUBMIT_TIMEOUT_S, done);
  }

  private static double retryAfter(HttpOutcome outcome) {
    return outcome.response() == null
        ? 0
        : Math.min(MAX_RETRY_AFTER_S, outcome.response().retryAfterS());
  }

  private void send(
      Object user, String kind, HttpRequest request, double timeout, Consumer<HttpOutcome> done) {
    send(ANY_NODE, user, kind, request, timeout, done);
  }

  private void send(
      int node,
      Object user,
      String kind,
      HttpRequest request,
      double timeout,
      Consumer<HttpOutcome> done) {
    double startedAt = environment.clock().seconds();
    Consumer<HttpOutcome> answered =
        outcome -> {
          answers.merge(kind + " " + outcome.status(), 1, Integer::sum);
          if (outcome.status() != 0) {
            longestResponseS.merge(
                kind + " " + outcome.status(),
                environment.clock().seconds() - startedAt,
                Math::max);
          }
          done.accept(outcome);
        };
    if (loadBalancer != null && node == ANY_NODE) {
      loadBalancer.call(user, request, timeout, answered);
    } else {
      environment
          .network()
          .call(
              new ProcessScope(),
              "users",
              environment.node(
                  node == ANY_NODE ? random.nextInt(environment.spec().nodes()) : node),
              request,
              TimeSpan.ofSeconds(timeout),
              answered);
    }
  }

  /** Evaluates the answer to a request about a job; returns whether it contains the job's state. */
  private boolean recordAnswer(JobId id, HttpOutcome outcome, String before) {
    if (outcome.status() != 200 && outcome.status() != 201) {
      environment.invariants().onRefused(id, outcome.status(), before);
      return false;
    }
    try {
      String status = Json.parseFields(outcome.response().body()).string("Status");
      String last = reportedStates.put(id, status);
      environment.invariants().onStateReported(id, status, before, cancelRequested.containsKey(id));
      environment.pipelines().onStateReported(id, status);
      if (status.equals("done")
          && overAfter.putIfAbsent(
                  id, environment.clock().seconds() - submittedAt.getOrDefault(id, 0.0))
              == null) {
        publish(JobEvent.TOLD_DONE, id);
      } else if (status.equals("cancelled") && !status.equals(last)) {
        publish(JobEvent.TOLD_CANCELLED, id);
      }
      return true;
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private void poll(JobId id) {
    sendOnce(
        ANY_NODE,
        RequestKind.STATE,
        id,
        outcome -> {
          if (outcome.status() == 200) {
            polls.answered(id);
          }
          boolean atSize = !environment.spec().classes().isEmpty();
          if (!atSize || isOpen(id)) {
            environment
                .clock()
                .after(
                    (atSize ? POLL_INTERVAL_LARGE_S : POLL_INTERVAL_S) / pollFactor,
                    () -> poll(id));
          }
        });
  }

  /** Records that cancellation of a job was requested, here or by a request of a test. */
  void noteCancel(JobId id) {
    if (cancelRequested.put(id, true) == null) {
      environment.accounting().cancelled(id, environment.now());
    }
  }

  void cancel(JobId id) {
    if (!reportedStates.containsKey(id)) {
      environment.clock().after(1, () -> cancel(id)); // not accepted yet
      return;
    }
    sendOnce(
        ANY_NODE,
        RequestKind.CANCEL,
        id,
        outcome -> {
          if (outcome.status() != 200) {
            environment.clock().after(1, () -> cancel(id));
          }
        });
  }
}
