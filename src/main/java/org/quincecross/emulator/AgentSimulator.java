package org.quincecross.emulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
  private static final double NO_ANSWER_S = 4;
  private static final double FAILS_AFTER_S = 0.3;
  private static final double MISTAKE_AFTER_S =
      0.001; // a misconfigured job fails as soon as it runs
  private static final double LEAST_BETWEEN_REPORTS_S = 0.5;

  /** The longest time that an expired lease goes unnoticed. */
  private static final double LEASE_LOOK_S = 0.05;

  /** A shorter delay would be rescheduled forever without the clock advancing. */
  private static final double CLOCK_STEP_S = 1e-9;

  /**
   * One attempt to run a task. The worker tells attempts apart and keeps each one until it is
   * cleared.
   */
  private record Key(TaskId task, long attempt) {}

  private static final class Task {
    private String state = "pulling";
    private String cause;
    private boolean saved;
    private double runningFrom;
    private boolean ran;
    private Runnable there;

    boolean isOver() {
      return state.equals("exited");
    }
  }

  private final ClusterEnvironment around;
  private final Clock clock;
  private final Machine machine;
  private final Resources capacity;
  private final MachineTraits traits;
  private ImageStore images;
  private ProcessScope life = new ProcessScope();
  private final Map<Key, Task> tasks = new LinkedHashMap<>();
  private long session = 1;
  private long order;
  private long token;
  private double leaseFrom;
  private double takenAt = Double.NaN;
  private int node;
  private boolean reporting;
  private double lastBeat = -1;
  private double tokenTold = -100;
  private double hangsUntil;
  private double deafUntil;
  private double answeredFrom = -1;
  private boolean destroyed;

  AgentSimulator(
      ClusterEnvironment around,
      Machine machine,
      MachineType type,
      MachineTraits traits,
      int firstNode) {
    this.around = around;
    this.clock = around.clock();
    this.machine = machine;
    this.capacity = type.capacity();
    this.traits = traits;
    this.images = new ImageStore(clock, type.cacheGb(), type.pullGbPerSecond());
    this.node = firstNode;
    this.leaseFrom = clock.seconds();
    beatLater(0.1);
    watchLease();
  }

  /**
   * When the last report was sent that a controller with an accepted token has answered; negative
   * before the first.
   */
  double answeredFrom() {
    return answeredFrom;
  }

  Machine machine() {
    return machine;
  }

  void destroy() {
    destroyed = true;
    life.end();
    dropAll();
    around.network().forget(machine.id().text());
  }

  /**
   * Stops the worker and starts it again after {@code seconds}, without tasks. It comes back as a
   * new worker: its counters and its fencing token start over.
   */
  void restart(double seconds) {
    if (!life.isAlive()) {
      return;
    }
    life.end();
    dropAll();
    ProcessScope next = new ProcessScope();
    clock.after(
        seconds,
        () -> {
          if (!destroyed) {
            life = next;
            images = new ImageStore(clock, images.cacheGb(), images.rate());
            session = 1;
            order = 0;
            token = 0;
            reporting = false;
            lastBeat = -1;
            tokenTold = -100;
            hangsUntil = 0;
            leaseFrom = clock.seconds();
            beatLater(0.1);
            watchLease();
          }
        });
  }

  /** The cloud announces that it will terminate the machine. */
  void notice(double seconds) {
    takenAt = clock.seconds() + seconds;
    beatLater(0.5);
  }

  private void dropAll() {
    around.coldStarts().lost(machine.id());
    Map<Key, Task> lost = Map.copyOf(tasks);
    for (Map.Entry<Key, Task> entry : lost.entrySet()) {
      keepCheckpoint(entry.getKey().task(), entry.getValue());
      around.rules().off(entry.getKey().task(), machine.id());
      around.tasks().gangTaskGone(entry.getKey().task(), entry.getKey().attempt());
      if (entry.getValue().state.equals("pulling")) {
        images.giveUp(around.job(entry.getKey().task().job()).image(), entry.getValue().there);
      }
      tasks.remove(entry.getKey());
    }
    lost.forEach(
        (key, task) -> {
          Job job = around.job(key.task().job());
          if (job != null && job.kind() == JobKind.GANG && task.ran && !task.isOver()) {
            around.tasks().gangLost(job, key.attempt());
          }
        });
  }

  @Override
  public boolean isUp() {
    return life.isAlive();
  }

  @Override
  public Object process() {
    return life;
  }

  /**
   * The delay until the next report: the configured interval with a jitter of a quarter either way.
   */
  private double reportS() {
    return around.site().workers().heartbeatInterval().seconds()
        * (0.75 + 0.5 * around.random().nextDouble());
  }

  // ---- reports ----

  private void after(double seconds, Runnable action) {
    ProcessScope begun = life;
    clock.after(
        seconds,
        () -> {
          if (begun != life) {
            return; // scheduled by a worker process that has ended since
          }
          if (life.isAlive() && clock.seconds() < hangsUntil) {
            after(Math.max(hangsUntil - clock.seconds(), CLOCK_STEP_S), action);
          } else if (life.isAlive()) {
            action.run();
          }
        });
  }

  /** Suspends the worker for a while. It resumes afterwards, if its lease permits. */
  void hang(double seconds) {
    hangsUntil = clock.seconds() + seconds;
  }

  /**
   * Drops everything sent to this worker for a while, including answers to its reports. What the
   * worker sends still arrives.
   */
  void deafen(double seconds) {
    deafUntil = clock.seconds() + seconds;
  }

  private boolean isDeaf() {
    return clock.seconds() < deafUntil;
  }

  /** Whether the worker is up, works correctly, and is not about to be terminated. */
  boolean takesWork() {
    return life.isAlive()
        && Double.isNaN(takenAt)
        && !traits.sick()
        && !isDeaf()
        && clock.seconds() >= hangsUntil
        && answeredFrom >= 0;
  }

  private void watchLease() {
    double lease = around.site().workers().lease().seconds();
    double held = (clock.seconds() - leaseFrom) * traits.clock();
    if (held > lease) {
      dropAll();
      session++;
      leaseFrom = clock.seconds();
      beatLater(LEAST_BETWEEN_REPORTS_S);
      held = 0;
    }
    // Also checked for a machine that hangs: it may resume within its lease, but not after it.
    ProcessScope begun = life;
    clock.after(
        Math.max(LEASE_LOOK_S, (lease - held) / traits.clock()),
        () -> {
          if (begun == life && life.isAlive()) {
            watchLease();
          }
        });
  }

  private void beatLater(double seconds) {
    after(
        seconds,
        () -> {
          if (!reporting && clock.seconds() - lastBeat >= 0.4) {
            beat();
          }
        });
  }

  private void beat() {
    reporting = true;
    lastBeat = clock.seconds();
    long sentSession = session;
    double sentAt = lastBeat;
    HttpRequest request = HttpRequest.post("/agent/beat", report());
    around
        .network()
        .call(
            life,
            machine.id().text(),
            around.node(node),
            request,
            TimeSpan.ofSeconds(NO_ANSWER_S),
            outcome -> {
              // A lost answer is noticed only when the request times out.
              boolean lost = isDeaf() && outcome.response() != null;
              after(
                  lost ? sentAt + NO_ANSWER_S - clock.seconds() : 0,
                  () -> {
                    reporting = false;
                    answered(lost ? HttpOutcome.failed(true) : outcome, sentSession, sentAt);
                  });
            });
  }

  private void answered(HttpOutcome outcome, long sentSession, double sentAt) {
    if (outcome.status() == 200 && sentSession == session) {
      try {
        JsonFields in = Json.parseFields(outcome.response().body());
        long answerToken = in.has("Baton") ? in.unsigned("Baton") : 0;
        if (answerToken >= token) {
          answeredFrom = sentAt;
          leaseFrom = Math.max(leaseFrom, sentAt);
          raise(answerToken);
          execute(in.objects("Orders"));
        }
      } catch (MalformedMessageException e) {
        throw new IllegalStateException(e);
      }
      beatLater(reportS());
    } else if (outcome.status() == 421) {
      int next = around.nodeNamed(new String(outcome.response().body(), StandardCharsets.UTF_8));
      boolean known = next >= 0 && next != node;
      node = known ? next : (node + 1) % around.site().nodes();
      beatLater(known ? 0.4 : 1);
    } else {
      node = (node + 1) % around.site().nodes();
      beatLater(1);
    }
  }

  private void raise(long seen) {
    if (seen > token) {
      token = seen;
      if (clock.seconds() - tokenTold > around.site().workers().lease().seconds() / 2) {
        tokenTold = clock.seconds();
        beatLater(0.5);
      }
    }
  }

  private byte[] report() {
    List<Object> pieces = new ArrayList<>();
    tasks.forEach(
        (key, task) -> {
          Map<String, Object> piece =
              Json.object(
                  "Piece", key.task().toString(), "Try", key.attempt(), "Status", task.state);
          if (task.cause != null) {
            piece.put("Cause", task.cause);
            piece.put("Stored", task.saved);
          }
          pieces.add(piece);
        });
    Map<String, Object> out =
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
            ++order,
            "Baton",
            token,
            "Pieces",
            pieces);
    if (!Double.isNaN(takenAt)) {
      out.put("RecallS", Math.max(0, takenAt - clock.seconds()));
    }
    return Json.write(out);
  }

  // ---- commands ----

  @Override
  public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
    if (isDeaf()) {
      return; // the caller waits until its request times out
    }
    if (clock.seconds() < hangsUntil) {
      after(
          Math.max(hangsUntil - clock.seconds(), CLOCK_STEP_S),
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
      raise(in.unsigned("Baton"));
      execute(in.objects("Orders"));
      reply.accept(HttpResponse.of(200, report()));
    } catch (MalformedMessageException e) {
      reply.accept(HttpResponse.of(400));
    }
  }

  private void execute(List<JsonFields> commands) throws MalformedMessageException {
    for (JsonFields command : commands) {
      Key key = new Key(TaskId.parse(command.string("Piece")), command.unsigned("Try"));
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

  private void start(Key key) {
    Job job = around.job(key.task().job());
    if (job == null || key.task().index() >= job.taskCount()) {
      Task unknown = new Task();
      unknown.state = "exited";
      unknown.cause = "no_such";
      tasks.put(key, unknown);
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
    task.there =
        () -> {
          if (life.isAlive() && tasks.get(key) == task && task.state.equals("pulling")) {
            around.rules().on(key.task(), machine);
            beatLater(0.5);
            if (job.kind() == JobKind.GANG) {
              gather(key, task, job);
            } else {
              run(key, task, job, around.tasks().secondsLeft(key.task()) / traits.speed());
            }
          }
        };
    around
        .coldStarts()
        .started(key.task(), machine.id(), images.want(job.image(), job.imageGb(), task.there));
  }

  private void gather(Key key, Task task, Job job) {
    task.state = "gathering";
    after(
        around.site().workers().gangStartTimeout().seconds(),
        () -> {
          if (tasks.get(key) == task && task.state.equals("gathering")) {
            exit(key, task, "alone");
          }
        });
    around.tasks().gangGathers(job, key.task(), key.attempt(), this);
  }

  private void run(Key key, Task task, Job job, double seconds) {
    task.state = "running";
    task.runningFrom = clock.seconds();
    task.ran = true;
    beatLater(0.5);
    boolean mistaken = around.users().isMistaken(job.id());
    if (traits.sick() || mistaken) {
      after(
          mistaken ? MISTAKE_AFTER_S : FAILS_AFTER_S,
          () -> {
            if (tasks.get(key) == task && !task.isOver()) {
              if (mistaken) {
                around.users().mistakeMade(job.id());
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
                around.tasks().completeGang(job, key.attempt());
              } else {
                complete(key.task(), key.attempt());
              }
            }
          });
    }
  }

  // ---- gangs ----

  /** Whether a gang task waits here for the other tasks of its attempt. */
  boolean gathers(TaskId id, long attempt) {
    Task task = tasks.get(new Key(id, attempt));
    return task != null && task.state.equals("gathering");
  }

  Resources capacity() {
    return capacity;
  }

  Resources used() {
    return tasks.entrySet().stream()
        .filter(each -> !each.getValue().isOver())
        .map(each -> around.job(each.getKey().task().job()).taskResources())
        .reduce(Resources.NONE, Resources::plus);
  }

  double speed() {
    return traits.speed();
  }

  /**
   * All tasks of the attempt have their images: they start together and run for {@code seconds}.
   */
  void gangStarts(Job job, TaskId id, long attempt, double seconds) {
    Key key = new Key(id, attempt);
    Task task = tasks.get(key);
    if (task != null && task.state.equals("gathering")) {
      run(key, task, job, seconds);
    }
  }

  /** Another task of the gang is gone; this one notices after the gang peer timeout. */
  void gangLost(TaskId id, long attempt) {
    Key key = new Key(id, attempt);
    Task task = tasks.get(key);
    if (task != null && task.state.equals("running")) {
      after(
          around.site().workers().gangPeerTimeout().seconds(),
          () -> {
            if (tasks.get(key) == task && !task.isOver()) {
              exit(key, task, "peers");
            }
          });
    }
  }

  // ---- ends ----

  private void halt(Key key, Task task, double windDown) {
    Job job = around.job(key.task().job());
    if (task.state.equals("running")
        && job.hasCheckpoints()
        && windDown >= job.checkpointCost().seconds()) {
      task.state = "saving";
      after(
          job.checkpointCost().seconds(),
          () -> {
            if (tasks.get(key) == task && task.state.equals("saving")) {
              task.saved = true;
              around.tasks().save(key.task(), progress(task));
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
    Job job = around.job(id.job());
    double every = job == null ? 0 : job.checkpointInterval().seconds();
    if (every > 0 && !task.isOver()) {
      around.tasks().save(id, Math.floor(progress(task) / every) * every);
    }
  }

  /** Completes the task, if this attempt of it is on this machine. */
  void complete(TaskId id, long attempt) {
    Key key = new Key(id, attempt);
    Task task = tasks.get(key);
    if (task != null && !task.isOver()) {
      exit(key, task, "done");
      around.rules().completed(id);
    }
  }

  private void exit(Key key, Task task, String cause) {
    if (!cause.equals("done") && !task.saved) {
      keepCheckpoint(key.task(), task);
    }
    boolean ran = task.ran;
    if (task.state.equals("pulling")) {
      images.giveUp(around.job(key.task().job()).image(), task.there);
    }
    task.state = "exited";
    task.cause = cause;
    around.rules().off(key.task(), machine.id());
    around.tasks().gangTaskGone(key.task(), key.attempt());
    beatLater(0.5);
    Job job = around.job(key.task().job());
    if (job.kind() == JobKind.GANG && ran && !cause.equals("done") && !cause.equals("peers")) {
      around.tasks().gangLost(job, key.attempt());
    }
  }
}
