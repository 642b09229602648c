package org.quincecross.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Attempt;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.AgentCodec;
import org.quincecross.protocol.Heartbeat;
import org.quincecross.protocol.Heartbeat.ExitReason;
import org.quincecross.protocol.Heartbeat.TaskState;
import org.quincecross.protocol.Heartbeat.TaskStatus;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.StartBlock;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;
import org.quincecross.state.Allocation;
import org.quincecross.state.ControllerRecord;
import org.quincecross.state.JobRecord;
import org.quincecross.state.StoreKeys;

/**
 * A shard owner and three simulated agents with random faults between them. Commands, heartbeats
 * and their responses are delayed, lost and repeated; machines hang, are partitioned in one or both
 * directions, and lose their leases; the owner is paused, is succeeded while it continues, and is
 * told to stop and restart tasks. No task is ever on two machines, none starts again under an
 * attempt that has been cleared, and all end.
 */
class ShardOwnerModelTest {
  private static final double TROUBLE_S = 100;
  private static final double QUIET_S = 75;
  private static final int TASKS = 90;
  private static final int AT_ONCE = 9;

  private static final class Model extends ShardOwnerHarness {
    private record Due(long at, long number, Runnable run) {}

    private final Random random;
    private final PriorityQueue<Due> due =
        new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
    private final List<Worker> workers = new ArrayList<>();
    private final Job job;
    private final TaskSet allocated = new TaskSet();
    private final TaskSet withheld = new TaskSet();
    private final Set<Integer> done = new HashSet<>();
    private final Set<Integer> finished = new HashSet<>();
    private final List<Integer> back = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private ShardOwner former;
    private double formerUntil;
    private double stillUntil;
    private boolean entitled = true;
    private boolean quiet;
    private double doubtSince = -1;
    private int given;
    private long number;

    Model(long seed) {
      random = new Random(seed);
      aStartIsSent();
      calls.clear();
      Job one = cache.job(TASK.job()).job();
      job =
          Job.builder(new JobId("job-2"))
              .jobClass(one.jobClass())
              .team(one.team())
              .kind(one.kind())
              .priority(one.priority())
              .taskCount(TASKS)
              .taskResources(one.taskResources())
              .image(one.image())
              .imageGb(one.imageGb())
              .estimate(one.estimate())
              .build();
      put(StoreKeys.job(job.id()), JobRecord.writeOpen(job, 0));
      owner.retire();
      for (int i = 1; i <= 3; i++) {
        workers.add(
            new Worker(
                new Machine(
                    new MachineId("m-" + i), new Endpoint("10.1.0." + i, 9000), "t", "z", false)));
      }
      put(StoreKeys.allocation(BLOCK), Allocation.write(Map.of()));
      put(
          StoreKeys.shard(BLOCK),
          cache
              .shards()
              .get(BLOCK)
              .with(workers.get(1).machine)
              .with(workers.get(2).machine)
              .write());
      leaseAnew(0);
    }

    private double now() {
      return clock.nanos() / 1e9;
    }

    private void later(double seconds, Runnable run) {
      due.add(new Due(clock.nanos() + Math.max(0, (long) (seconds * 1e9)), number++, run));
    }

    /** Runs an event of the controller, delayed to the end of its pause. */
    private void awake(Runnable run) {
      if (now() < stillUntil) {
        later(stillUntil - now() + 0.001, () -> awake(run));
      } else {
        run.run();
      }
    }

    private boolean chance(double share) {
      return !quiet && random.nextDouble() < share;
    }

    private double between(double from, double to) {
      return from + random.nextDouble() * (to - from);
    }

    // ---- the controller ----

    private final class Wild extends Context {
      private final MonotonicTime[] lastWord = new MonotonicTime[1];

      @Override
      public HttpCaller http() {
        return (to, request, timeout, over) -> direct(to, request, timeout.seconds(), over);
      }

      @Override
      public boolean mayCommand() {
        return entitled;
      }

      @Override
      public MonotonicTime confirmedAt() {
        return lastWord[0] == null ? super.confirmedAt() : lastWord[0];
      }

      @Override
      public StartBlock startBlock() {
        return new StartBlock() {
          @Override
          public TaskSet blockedTasks(Job each) {
            return each.id().equals(job.id()) ? withheld : new TaskSet();
          }

          @Override
          public String reason(JobId id) {
            return null;
          }
        };
      }
    }

    private Wild context;

    /**
     * Leases the shard under a new token; the former owner continues for a while, without contact
     * to the store.
     */
    private void leaseAnew(double formerGoesOn) {
      if (former != null) {
        former.retire();
      }
      if (context != null) {
        context.lastWord[0] = new MonotonicTime(Math.min(clock.nanos(), lastConfirmed));
        former = owner;
        formerUntil = now() + formerGoesOn;
      }
      put(
          StoreKeys.shard(BLOCK),
          cache
              .shards()
              .get(BLOCK)
              .leasedTo(
                  new ControllerRecord(
                      new ControllerId("n"),
                      new Incarnation(1),
                      "z",
                      Build.BEFORE_LEVELS,
                      AnnouncedLimits.NONE,
                      new Revision(1)))
              .write());
      context = new Wild();
      owner = new ShardOwner(context, cache.shards().get(BLOCK));
      endFormer();
    }

    private void endFormer() {
      if (former != null && now() >= formerUntil) {
        former.retire();
        former = null;
      }
    }

    private void tick() {
      endFormer();
      owner.tick();
      if (former != null) {
        former.tick();
      }
      later(0.15, () -> awake(this::tick));
    }

    /**
     * Acts as the leader: reallocates released tasks, removes completed ones, and renews the token
     * when requested.
     */
    private void lead() {
      List<TaskId> gone = new ArrayList<>(owner.completed());
      gone.forEach(task -> finished.add(task.index()));
      for (TaskId task : owner.released()) {
        gone.add(task);
        back.add(task.index());
      }
      boolean changed = !gone.isEmpty();
      gone.forEach(task -> allocated.remove(task.index()));
      if (changed) {
        allocateAll(); // a released task must leave the allocation before it may return to it
      }
      back.removeIf(index -> finished.contains(index));
      while (allocated.size() < AT_ONCE && (!back.isEmpty() || given < TASKS)) {
        int next = back.isEmpty() ? given++ : back.remove(0);
        if (withheld.contains(next)) {
          back.add(next);
          break;
        }
        allocated.add(next);
        changed = true;
      }
      if (changed) {
        allocateAll();
      }
      doubtSince = !owner.needsTokenRenewal() ? -1 : doubtSince < 0 ? now() : doubtSince;
      if (doubtSince >= 0 && now() - doubtSince > 1) {
        doubtSince = -1;
        leaseAnew(0);
      }
      later(between(0.2, 0.8), () -> awake(this::lead));
    }

    private void allocateAll() {
      TaskSet copy = new TaskSet();
      IntStream.range(0, TASKS).filter(allocated::contains).forEach(copy::add);
      put(
          StoreKeys.allocation(BLOCK),
          Allocation.write(copy.isEmpty() ? Map.of() : Map.of(job.id(), copy)));
      owner.sync();
    }

    private void report(Heartbeat heartbeat, Consumer<byte[]> reply) {
      ShardOwner to = former != null && random.nextBoolean() ? former : owner;
      reply.accept(to.respond(heartbeat));
    }

    private void direct(
        Endpoint to, HttpRequest request, double timeoutS, Consumer<HttpOutcome> over) {
      boolean[] ended = new boolean[1];
      Consumer<HttpOutcome> once =
          outcome -> {
            if (!ended[0]) {
              ended[0] = true;
              over.accept(outcome);
            }
          };
      Worker worker =
          workers.stream()
              .filter(each -> each.machine.address().equals(to))
              .findFirst()
              .orElseThrow();
      carry(
          worker.hearsUntilCut(),
          12,
          () ->
              worker.request(
                  request,
                  response ->
                      carry(
                          worker.speaksUntilCut(),
                          3,
                          () -> awake(() -> once.accept(HttpOutcome.answered(response))))));
      later(timeoutS, () -> awake(() -> once.accept(HttpOutcome.failed(true))));
    }

    /** A message arrives soon, late or never. */
    private void carry(boolean open, double longestS, Runnable arrival) {
      if (open && !chance(0.04)) {
        later(chance(0.12) ? between(0.5, longestS) : between(0.002, 0.02), arrival);
      }
    }

    // ---- faults ----

    private void trouble() {
      if (quiet) {
        return;
      }
      Worker worker = workers.get(random.nextInt(workers.size()));
      switch (random.nextInt(7)) {
        case 0 -> worker.hangUntil = now() + between(0.5, 9);
        case 1 -> worker.cut(random.nextBoolean(), random.nextBoolean(), between(2, 16));
        case 2 -> worker.unansweredUntil = now() + between(4, 24);
        case 3 -> awake(() -> leaseAnew(random.nextBoolean() ? 0 : between(0, 6)));
        case 4 -> {
          int index = random.nextInt(TASKS);
          IntStream.range(index, Math.min(TASKS, index + 40)).forEach(withheld::add);
          awake(() -> owner.jobsChanged(Set.of(job.id())));
          later(between(0.3, 6), () -> IntStream.range(0, TASKS).forEach(withheld::remove));
        }
        case 5 -> standStill(between(1, 14));
        default -> {
          // Heartbeats go unanswered for so long that leases expire, while commands arrive.
          double still = between(7, 13);
          standStill(still);
          workers.forEach(each -> each.unansweredUntil = now() + still + between(2, 12));
        }
      }
      later(between(1, 7), this::trouble);
    }

    private void standStill(double seconds) {
      if (now() < stillUntil) {
        return;
      }
      stillUntil = now() + seconds;
      lastConfirmed = clock.nanos();
      entitled = false;
      later(
          seconds,
          () -> {
            owner.excusePause(TimeSpan.ofSeconds(seconds));
            if (former != null) {
              former.excusePause(TimeSpan.ofSeconds(seconds));
            }
          });
      later(
          seconds + between(0.01, 0.5),
          () -> {
            lastConfirmed = Long.MAX_VALUE;
            entitled = true;
          });
    }

    /** Describes what has not ended, and what it waits for. */
    String left() {
      return "given "
          + given
          + ", back "
          + back
          + ", waits for "
          + owner.unplacedReasons(job.id())
          + ", in doubt "
          + owner.needsTokenRenewal()
          + ", "
          + workers.stream()
              .map(
                  worker ->
                      worker.machine.id()
                          + " in session "
                          + worker.session
                          + " has "
                          + worker.pieces())
              .toList();
    }

    void play() {
      tick();
      lead();
      workers.forEach(worker -> later(random.nextDouble(), worker::beat));
      workers.forEach(Worker::watchLease);
      later(4, this::trouble);
      later(
          TROUBLE_S,
          () -> {
            quiet = true;
            IntStream.range(0, TASKS).forEach(withheld::remove);
          });
      while (now() < TROUBLE_S + QUIET_S && broken.isEmpty()) {
        Due next = due.poll();
        clock.advance((next.at() - clock.nanos()) / 1e9);
        next.run().run();
      }
    }

    // ---- an agent ----

    private record Key(TaskId task, long attempt) {}

    private static final class Task {
      private ExitReason cause;
    }

    private final class Worker {
      private static final double LEASE_S = 10;
      private final Machine machine;
      private final Map<Key, Task> tasks = new LinkedHashMap<>();

      /** What has been started in this session; none of it may start again. */
      private final Set<Key> ever = new HashSet<>();

      private long session = 1;
      private long order;
      private long token;
      private double leaseFrom = now();
      private double hangUntil;
      private double deafUntil;
      private double muteUntil;
      private double unansweredUntil;
      private boolean reporting;
      private double lastBeat = -1;

      Worker(Machine machine) {
        this.machine = machine;
      }

      void cut(boolean hears, boolean speaks, double seconds) {
        deafUntil = hears ? deafUntil : now() + seconds;
        muteUntil = speaks ? muteUntil : now() + seconds;
      }

      boolean hearsUntilCut() {
        return now() >= deafUntil;
      }

      boolean speaksUntilCut() {
        return now() >= muteUntil;
      }

      void watchLease() {
        if (now() - leaseFrom > LEASE_S) {
          tasks.clear();
          ever.clear();
          session++;
          leaseFrom = now();
          soon(0.1);
        }
        later(0.05, this::watchLease);
      }

      private void whenGoing(Runnable run) {
        if (now() < hangUntil) {
          later(hangUntil - now() + 0.001, () -> whenGoing(run));
        } else {
          run.run();
        }
      }

      private void soon(double seconds) {
        later(seconds, () -> whenGoing(this::beat));
      }

      private List<TaskStatus> pieces() {
        List<TaskStatus> pieces = new ArrayList<>();
        tasks.forEach(
            (key, task) ->
                pieces.add(
                    new TaskStatus(
                        key.task(),
                        new Attempt(key.attempt()),
                        task.cause == null ? TaskState.RUNNING : TaskState.EXITED,
                        task.cause,
                        false)));
        return pieces;
      }

      void beat() {
        if (reporting || now() - lastBeat < 0.45) {
          return;
        }
        reporting = true;
        lastBeat = now();
        double sentAt = now();
        long sent = session;
        Heartbeat heartbeat =
            new Heartbeat(machine, session, ++order, new FencingToken(token), null, pieces());
        boolean[] over = new boolean[1];
        Consumer<byte[]> end =
            answer ->
                whenGoing(
                    () -> {
                      if (over[0]) {
                        return;
                      }
                      over[0] = true;
                      reporting = false;
                      boolean inTime = answer != null && now() - sentAt <= 4;
                      if (inTime && sent == session) {
                        take(answer, sentAt);
                      }
                      soon(inTime ? between(0.75, 1.25) : 1);
                    });
        later(4, () -> end.accept(null));
        if (now() < unansweredUntil) {
          return; // it contacts controllers that do not respond
        }
        carry(
            speaksUntilCut(),
            8,
            () -> {
              awake(
                  () ->
                      report(
                          heartbeat,
                          answer -> carry(hearsUntilCut(), 6, () -> end.accept(answer))));
              if (chance(0.3)) {
                later(between(1, 26), () -> awake(() -> report(heartbeat, answer -> {})));
              }
            });
      }

      private void take(byte[] answer, double sentAt) {
        try {
          JsonFields in = Json.parseFields(answer);
          if (in.unsigned("Baton") >= token) {
            token = in.unsigned("Baton");
            leaseFrom = Math.max(leaseFrom, sentAt);
            execute(in.objects("Orders"));
          }
        } catch (MalformedMessageException e) {
          throw new IllegalStateException(e);
        }
      }

      // The behaviour of one agent, as in the protocol.
      @SuppressWarnings("MethodLength")
      void request(HttpRequest request, Consumer<HttpResponse> reply) {
        whenGoing(
            () -> {
              try {
                int status = 200;
                if (!request.path().equals("/status")) {
                  JsonFields in = Json.parseFields(request.body());
                  if (in.unsigned("Baton") < token || in.unsigned("Shift") != session) {
                    status = 409;
                  } else {
                    token = in.unsigned("Baton");
                    execute(in.objects("Orders"));
                  }
                }
                List<Object> out = new ArrayList<>();
                pieces()
                    .forEach(
                        piece -> {
                          Map<String, Object> each =
                              Json.object(
                                  "Piece",
                                  piece.task().toString(),
                                  "Try",
                                  piece.attempt().value(),
                                  "Status",
                                  piece.exitReason() == null ? "running" : "exited");
                          if (piece.exitReason() != null) {
                            each.put("Cause", AgentCodec.exitWord(piece.exitReason()));
                          }
                          out.add(each);
                        });
                reply.accept(
                    HttpResponse.of(
                        status,
                        Json.write(
                            Json.object(
                                "Host",
                                machine.id().text(),
                                "Addr",
                                machine.address().toString(),
                                "Hull",
                                "t",
                                "Yard",
                                "z",
                                "Shift",
                                session,
                                "Tick",
                                ++order,
                                "Baton",
                                token,
                                "Pieces",
                                out))));
              } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
              }
            });
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
            case "halt" -> exit(key, task, ExitReason.STOPPED);
            default -> {
              if (task != null && task.cause != null) {
                tasks.remove(key);
              }
            }
          }
        }
      }

      private boolean has(TaskId id) {
        return tasks.entrySet().stream()
            .anyMatch(each -> each.getKey().task().equals(id) && each.getValue().cause == null);
      }

      private void start(Key key) {
        if (!ever.add(key)) {
          broken.add(
              key + " starts anew on " + machine.id() + ", which has cleared it, at " + now());
        }
        Task task = new Task();
        boolean inUse = has(key.task());
        long used = tasks.values().stream().filter(each -> each.cause == null).count();
        tasks.put(key, task);
        if (inUse || used >= 2) {
          task.cause = inUse ? ExitReason.TASK_ALREADY_PRESENT : ExitReason.INSUFFICIENT_RESOURCES;
          return;
        }
        for (Worker other : workers) {
          if (other != this && other.has(key.task())) {
            broken.add(key + " on " + machine.id() + " and " + other.machine.id() + " at " + now());
          }
        }
        later(
            done.contains(key.task().index())
                ? 0.2
                : random.nextBoolean() ? between(0.1, 1) : between(1, 8),
            () ->
                whenGoing(
                    () -> {
                      if (tasks.get(key) == task && task.cause == null) {
                        done.add(key.task().index());
                        exit(key, task, ExitReason.DONE);
                      }
                    }));
        soon(0.5);
      }

      private void exit(Key key, Task task, ExitReason cause) {
        if (task != null && tasks.get(key) == task && task.cause == null) {
          task.cause = cause;
          soon(0.5);
        }
      }
    }
  }

  private static void play(long seed) {
    Model model = new Model(seed);
    model.play();
    assertEquals(List.of(), model.broken, "seed " + seed);
    assertTrue(
        model.done.containsAll(model.finished),
        "seed " + seed + ": reported as completed but did not exit");
    assertEquals(TASKS, model.finished.size(), "seed " + seed + ": " + model.left());
  }

  /**
   * Includes seeds that fail without each guard: late heartbeats (most of them), clears (20, 24),
   * doubts (2), commands in flight (44), leases (59).
   */
  @Test
  void noTaskIsOnTwoMachinesAndAllEnd() {
    LongStream.concat(LongStream.rangeClosed(1, 24), LongStream.of(31, 38, 44, 56, 59))
        .forEach(ShardOwnerModelTest::play);
  }

  @Test
  @Tag("seeds")
  void theSameForManySeeds() {
    String[] range = System.getProperty("seeds", "20000-24999").split("-");
    LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]))
        .parallel()
        .forEach(ShardOwnerModelTest::play);
  }
}
