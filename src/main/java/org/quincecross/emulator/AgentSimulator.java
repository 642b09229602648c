package org.quincecross.emulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Job;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineType;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * A simulated worker agent that follows the worker protocol: sessions, fencing tokens, leases,
 * commands and task states.
 */
final class AgentSimulator implements Network.Host {
  private static final double RESPONSE_TIMEOUT_S = 4;
  private static final double FAULTY_MACHINE_FAILURE_DELAY_S = 0.3;
  private static final double FAULTY_JOB_FAILURE_DELAY_S =
      0.001; // a misconfigured job fails as soon as it runs
  private static final double MIN_REPORT_INTERVAL_S = 0.5;

  /** The longest time that an expired lease goes unnoticed. */
  private static final double MIN_LEASE_CHECK_DELAY_S = 0.05;

  /** A shorter delay would be rescheduled forever without the clock advancing. */
  private static final double CLOCK_STEP_S = 1e-9;

  /**
   * One attempt to run a task. The worker tells attempts apart and keeps each one until it is
   * cleared.
   */
  private record TaskAttempt(TaskId task, long attempt) {}

  private static final class Task {
    private String state = "pulling";
    private String cause;
    private boolean checkpointSaved;
    private double runningFrom;
    private boolean ran;
    private Runnable onImageReady;

    boolean isOver() {
      return state.equals("exited");
    }
  }

  private final ClusterEnvironment environment;
  private final Clock clock;
  private final Machine machine;
  private final Resources capacity;
  private final MachineTraits traits;
  private ImageStore images;
  private ProcessScope process = new ProcessScope();
  private final Map<TaskAttempt, Task> tasks = new LinkedHashMap<>();

  /** Completed tasks, whose results the worker keeps: started again, they end at once. */
  private final Set<TaskId> results = new HashSet<>();

  private long session = 1;
  private long reportNumber;
  private long token;
  private double leaseFrom;
  private double terminatesAt = Double.NaN;
  private int node;
  private boolean reporting;
  private boolean refusalUnreported;
  private double lastReportAt = -1;
  private double tokenReportedAt = -100;
  private double suspendedUntil;
  private double inboundDroppedUntil;
  private double lastAnsweredReportAt = -1;
  private boolean destroyed;

  AgentSimulator(
      ClusterEnvironment environment,
      Machine machine,
      MachineType type,
      MachineTraits traits,
      int firstNode) {
    this.environment = environment;
    this.clock = environment.clock();
    this.machine = machine;
    this.capacity = type.capacity();
    this.traits = traits;
    this.images = new ImageStore(clock, type.cacheGb(), type.pullGbPerSecond());
    this.node = firstNode;
    this.leaseFrom = clock.seconds();
    scheduleReport(0.1);
    watchLease();
  }

  /**
   * When the last report was sent that a controller with an accepted token has answered; negative
   * before the first.
   */
  double lastAnsweredReportAt() {
    return lastAnsweredReportAt;
  }

  Machine machine() {
    return machine;
  }

  void destroy() {
    destroyed = true;
    process.end();
    dropAllTasks();
    environment.network().forget(machine.id().text());
  }

  /**
   * Stops the worker and starts it again after {@code seconds}, without tasks. It comes back as a
   * new worker: its counters and its fencing token start over.
   */
  void restart(double seconds) {
    if (!process.isAlive()) {
      return;
    }
    process.end();
    dropAllTasks();
    ProcessScope next = new ProcessScope();
    clock.after(
        seconds,
        () -> {
          if (!destroyed) {
            process = next;
            images = new ImageStore(clock, images.cacheGb(), images.rate());
            session = 1;
            reportNumber = 0;
            token = 0;
            reporting = false;
            refusalUnreported = false;
            lastReportAt = -1;
            tokenReportedAt = -100;
            suspendedUntil = 0;
            leaseFrom = clock.seconds();
            scheduleReport(0.1);
            watchLease();
          }
        });
  }

  /** The cloud announces that it will terminate the machine. */
  void announceTermination(double seconds) {
    terminatesAt = clock.seconds() + seconds;
    scheduleReport(0.5);
  }

  private void dropAllTasks() {
    results.clear();
    environment.coldStarts().lost(machine.id());
    Map<TaskAttempt, Task> lost = Map.copyOf(tasks);
    for (Map.Entry<TaskAttempt, Task> entry : lost.entrySet()) {
      keepCheckpoint(entry.getKey().task(), entry.getValue());
      environment.invariants().taskLeft(entry.getKey().task(), machine.id());
      environment.tasks().onGangTaskGone(entry.getKey().task(), entry.getKey().attempt());
      if (entry.getValue().state.equals("pulling")) {
        images.withdraw(
            environment.job(entry.getKey().task().job()).image(), entry.getValue().onImageReady);
      }
      tasks.remove(entry.getKey());
    }
    lost.forEach(
        (key, task) -> {
          Job job = environment.job(key.task().job());
          if (job != null && job.kind() == JobKind.GANG && task.ran && !task.isOver()) {
            environment.tasks().onGangLost(job, key.attempt());
          }
        });
  }

  @Override
  public boolean isUp() {
    return process.isAlive();
  }

  @Override
  public Object process() {
    return process;
  }

  /**
   * The delay until the next report: the configured interval with a jitter of a quarter either way.
   */
  private double nextReportDelayS() {
    return environment.spec().workers().heartbeatInterval().seconds()
        * (0.75 + 0.5 * environment.random().nextDouble());
  }

  // ---- reports ----

  private void after(double seconds, Runnable action) {
    ProcessScope startedIn = process;
    clock.after(
        seconds,
        () -> {
          if (startedIn != process) {
            return; // scheduled by a worker process that has ended since
          }
          if (process.isAlive() && clock.seconds() < suspendedUntil) {
            after(Math.max(suspendedUntil - clock.seconds(), CLOCK_STEP_S), action);
          } else if (process.isAlive()) {
            action.run();
          }
        });
  }

  /** Suspends the worker for a while. It resumes afterwards, if its lease permits. */
  void suspend(double seconds) {
    suspendedUntil = clock.seconds() + seconds;
  }

  /**
   * Drops everything sent to this worker for a while, including answers to its reports. What the
   * worker sends still arrives.
   */
  void dropInbound(double seconds) {
    inboundDroppedUntil = clock.seconds() + seconds;
  }

  private boolean isInboundDropped() {
    return clock.seconds() < inboundDroppedUntil;
  }

  /** Whether the worker is up, works correctly, and is not about to be terminated. */
  boolean canRunTasks() {
    return process.isAlive()
        && Double.isNaN(terminatesAt)
        && !traits.faulty()
        && !isInboundDropped()
        && clock.seconds() >= suspendedUntil
        && lastAnsweredReportAt >= 0;
  }

  private void watchLease() {
    double lease = environment.spec().workers().lease().seconds();
    double leaseAge = (clock.seconds() - leaseFrom) * traits.clockRate();
    if (leaseAge > lease) {
      dropAllTasks();
      session++;
      leaseFrom = clock.seconds();
      scheduleReport(MIN_REPORT_INTERVAL_S);
      leaseAge = 0;
    }
    // Also checked for a machine that hangs: it may resume within its lease, but not after it.
    ProcessScope startedIn = process;
    clock.after(
        Math.max(MIN_LEASE_CHECK_DELAY_S, (lease - leaseAge) / traits.clockRate()),
        () -> {
          if (startedIn == process && process.isAlive()) {
            watchLease();
          }
        });
  }

  private void scheduleReport(double seconds) {
    after(
        seconds,
        () -> {
          if (!reporting && clock.seconds() - lastReportAt >= 0.4) {
            sendReport();
          }
        });
  }

  /** A refused task is a change, which is reported as soon as the last report permits. */
  private void reportRefusal() {
    if (reporting) {
      refusalUnreported = true;
    } else {
      scheduleReport(Math.max(0, lastReportAt + MIN_REPORT_INTERVAL_S - clock.seconds()));
    }
  }

  private void sendReport() {
    reporting = true;
    refusalUnreported = false;
    lastReportAt = clock.seconds();
    long sentSession = session;
    double sentAt = lastReportAt;
    HttpRequest request = HttpRequest.post("/agent/beat", report());
    environment
        .network()
        .call(
            process,
            machine.id().text(),
            environment.node(node),
            request,
            TimeSpan.ofSeconds(RESPONSE_TIMEOUT_S),
            outcome -> {
              // A lost answer is noticed only when the request times out.
              boolean lost = isInboundDropped() && outcome.response() != null;
              after(
                  lost ? sentAt + RESPONSE_TIMEOUT_S - clock.seconds() : 0,
                  () -> {
                    reporting = false;
                    onReportAnswered(
                        lost ? HttpOutcome.failed(true) : outcome, sentSession, sentAt);
                  });
            });
  }

  private void onReportAnswered(HttpOutcome outcome, long sentSession, double sentAt) {
    if (outcome.status() == 200 && sentSession == session) {
      try {
        JsonFields in = Json.parseFields(outcome.response().body());
        long answerToken = in.has("Baton") ? in.unsigned("Baton") : 0;
        if (answerToken >= token) {
          lastAnsweredReportAt = sentAt;
          leaseFrom = Math.max(leaseFrom, sentAt);
          raiseToken(answerToken);
          execute(in.objects("Orders"));
        }
      } catch (MalformedMessageException e) {
        throw new IllegalStateException(e);
      }
      if (refusalUnreported) {
        reportRefusal();
      }
      scheduleReport(nextReportDelayS());
    } else if (outcome.status() == 421) {
      int next =
          environment.nodeNamed(new String(outcome.response().body(), StandardCharsets.UTF_8));
      boolean known = next >= 0 && next != node;
      node = known ? next : (node + 1) % environment.spec().nodes();
      scheduleReport(known ? 0.4 : 1);
    } else {
      node = (node + 1) % environment.spec().nodes();
      scheduleReport(1);
    }
  }

  private void raiseToken(long seen) {
    if (seen > token) {
      token = seen;
      if (clock.seconds() - tokenReportedAt > environment.spec().workers().lease().seconds() / 2) {
        tokenReportedAt = clock.seconds();
        scheduleReport(0.5);
      }
    }
  }

  private byte[] report() {
    List<Object> taskReports = new ArrayList<>();
    tasks.forEach(
        (key, task) -> {
          Map<String, Object> taskReport =
              Json.object(
                  "Piece", key.task().toString(), "Try", key.attempt(), "Status", task.state);
          if (task.cause != null) {
            taskReport.put("Cause", task.cause);
            taskReport.put("Stored", task.checkpointSaved);
          }
          taskReports.add(taskReport);
        });
    Map<String, Object> body =
        Json.object(
            "Host",
            machine.id().text(),
            "Addr",
            machine.address().toString(),
            "Hull",
            machine.type(),
            "Yard",
            machine.zone(),
            "Loaners",
            machine.spot(),
            "Shift",
            session,
            "Tick",
            ++reportNumber,
            "Baton",
            token,
            "Pieces",
            taskReports);
    if (!Double.isNaN(terminatesAt)) {
      body.put("RecallS", Math.max(0, terminatesAt - clock.seconds()));
    }
    return Json.write(body);
  }

  // ---- commands ----

  @Override
  public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
    if (isInboundDropped()) {
      return; // the caller waits until its request times out
    }
    if (clock.seconds() < suspendedUntil) {
      after(
          Math.max(suspendedUntil - clock.seconds(), CLOCK_STEP_S),
          () -> request(from, request, reply));
      return;
    }
    if (request.path().equals("/status")) {
      reply.accept(HttpResponse.of(200, report()));
      return;
    }
    try {
      JsonFields in = Json.parseFields(request.body());
      if (in.unsigned("Baton") < token || in.unsigned("Shift") != session) {
        reply.accept(HttpResponse.of(409, report()));
        return;
      }
      raiseToken(in.unsigned("Baton"));
      execute(in.objects("Orders"));
      reply.accept(HttpResponse.of(200, report()));
    } catch (MalformedMessageException e) {
      reply.accept(HttpResponse.of(400));
    }
  }

  private void execute(List<JsonFields> commands) throws MalformedMessageException {
    for (JsonFields command : commands) {
      TaskAttempt key =
          new TaskAttempt(TaskId.parse(command.string("Piece")), command.unsigned("Try"));
      Task task = tasks.get(key);
      switch (command.string("Verb")) {
        case "start" -> {
          if (task == null) {
            start(key);
          }
        }
        case "halt" -> {
          if (task != null && !task.isOver()) {
            halt(key, task, command.nonNegativeNumber("WindDownS"));
          }
        }
        case "clear" -> {
          if (task != null && task.isOver()) {
            tasks.remove(key);
          }
        }
        default -> throw new IllegalStateException();
      }
    }
  }

  private void start(TaskAttempt key) {
    Job job = environment.job(key.task().job());
    if (job == null || key.task().index() >= job.taskCount()) {
      Task unknown = new Task();
      unknown.state = "exited";
      unknown.cause = "no_such";
      tasks.put(key, unknown);
      reportRefusal();
      return;
    }
    boolean inUse =
        tasks.entrySet().stream()
            .anyMatch(
                other -> !other.getValue().isOver() && other.getKey().task().equals(key.task()));
    Task task = new Task();
    tasks.put(key, task);
    if (inUse || !used().fitsIn(capacity)) {
      task.state = "exited";
      task.cause = inUse ? "in_use" : "full";
      return;
    }
    task.onImageReady =
        () -> {
          if (process.isAlive() && tasks.get(key) == task && task.state.equals("pulling")) {
            if (results.contains(key.task())) {
              exit(key, task, "done");
              return;
            }
            environment.invariants().taskArrived(key.task(), machine);
            scheduleReport(0.5);
            if (job.kind() == JobKind.GANG) {
              waitForGang(key, task, job);
            } else {
              run(key, task, job, environment.tasks().secondsLeft(key.task()) / traits.speed());
            }
          }
        };
    environment
        .coldStarts()
        .started(
            key.task(),
            machine.id(),
            images.request(job.image(), job.imageGb(), task.onImageReady));
  }

  private void waitForGang(TaskAttempt key, Task task, Job job) {
    task.state = "gathering";
    after(
        environment.spec().workers().gangStartTimeout().seconds(),
        () -> {
          if (tasks.get(key) == task && task.state.equals("gathering")) {
            exit(key, task, "alone");
          }
        });
    environment.tasks().onGangTaskWaiting(job, key.task(), key.attempt(), this);
  }

  private void run(TaskAttempt key, Task task, Job job, double seconds) {
    task.state = "running";
    task.runningFrom = clock.seconds();
    task.ran = true;
    scheduleReport(0.5);
    boolean misconfigured = environment.users().isMisconfigured(job.id());
    if (traits.faulty() || misconfigured) {
      after(
          misconfigured ? FAULTY_JOB_FAILURE_DELAY_S : FAULTY_MACHINE_FAILURE_DELAY_S,
          () -> {
            if (tasks.get(key) == task && !task.isOver()) {
              if (misconfigured) {
                environment.users().onMisconfiguredAttempt(job.id());
              }
              exit(key, task, "error");
            }
          });
    } else if (job.kind() != JobKind.SERVICE) {
      after(
          seconds,
          () -> {
            if (tasks.get(key) == task && task.state.equals("running")) {
              if (job.kind() == JobKind.GANG) {
                environment.tasks().completeGang(job, key.attempt());
              } else {
                complete(key.task(), key.attempt());
              }
            }
          });
    }
  }

  // ---- gangs ----

  /** Whether a gang task waits here for the other tasks of its attempt. */
  boolean isWaitingForGang(TaskId id, long attempt) {
    Task task = tasks.get(new TaskAttempt(id, attempt));
    return task != null && task.state.equals("gathering");
  }

  Resources capacity() {
    return capacity;
  }

  Resources used() {
    return tasks.entrySet().stream()
        .filter(each -> !each.getValue().isOver())
        .map(each -> environment.job(each.getKey().task().job()).taskResources())
        .reduce(Resources.NONE, Resources::plus);
  }

  double speed() {
    return traits.speed();
  }

  /**
   * All tasks of the attempt have their images: they start together and run for {@code seconds}.
   */
  void startGangTask(Job job, TaskId id, long attempt, double seconds) {
    TaskAttempt key = new TaskAttempt(id, attempt);
    Task task = tasks.get(key);
    if (task != null && task.state.equals("gathering")) {
      run(key, task, job, seconds);
    }
  }

  /** Another task of the gang is gone; this one notices after the gang peer timeout. */
  void onGangPeerLost(TaskId id, long attempt) {
    TaskAttempt key = new TaskAttempt(id, attempt);
    Task task = tasks.get(key);
    if (task != null && task.state.equals("running")) {
      after(
          environment.spec().workers().gangPeerTimeout().seconds(),
          () -> {
            if (tasks.get(key) == task && !task.isOver()) {
              exit(key, task, "peers");
            }
          });
    }
  }

  // ---- ends ----

  private void halt(TaskAttempt key, Task task, double windDown) {
    Job job = environment.job(key.task().job());
    if (task.state.equals("running")
        && job.hasCheckpoints()
        && windDown >= job.checkpointCost().seconds()) {
      task.state = "saving";
      after(
          job.checkpointCost().seconds(),
          () -> {
            if (tasks.get(key) == task && task.state.equals("saving")) {
              task.checkpointSaved = true;
              environment.tasks().save(key.task(), progress(task));
              exit(key, task, "stopped");
            }
          });
    } else if (!task.state.equals("saving") || windDown == 0) {
      exit(key, task, "stopped");
    }
  }

  private double progress(Task task) {
    return task.ran ? (clock.seconds() - task.runningFrom) * traits.speed() : 0;
  }

  private void keepCheckpoint(TaskId id, Task task) {
    Job job = environment.job(id.job());
    double every = job == null ? 0 : job.checkpointInterval().seconds();
    if (every > 0 && !task.isOver()) {
      environment.tasks().save(id, Math.floor(progress(task) / every) * every);
    }
  }

  /** Completes the task, if this attempt of it is on this machine. */
  void complete(TaskId id, long attempt) {
    TaskAttempt key = new TaskAttempt(id, attempt);
    Task task = tasks.get(key);
    if (task != null && !task.isOver()) {
      results.add(id);
      exit(key, task, "done");
      environment.invariants().completed(id);
    }
  }

  private void exit(TaskAttempt key, Task task, String cause) {
    if (!cause.equals("done") && !task.checkpointSaved) {
      keepCheckpoint(key.task(), task);
    }
    boolean ran = task.ran;
    if (task.state.equals("pulling")) {
      images.withdraw(environment.job(key.task().job()).image(), task.onImageReady);
    }
    task.state = "exited";
    task.cause = cause;
    environment.invariants().taskLeft(key.task(), machine.id());
    environment.tasks().onGangTaskGone(key.task(), key.attempt());
    scheduleReport(0.5);
    Job job = environment.job(key.task().job());
    if (job.kind() == JobKind.GANG && ran && !cause.equals("done") && !cause.equals("peers")) {
      environment.tasks().onGangLost(job, key.attempt());
    }
  }
}
