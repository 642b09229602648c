package review;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.protocol.Json;

/** One machine with its worker, as PROTOCOL "Workers -> controller nodes" describes it. */
final class Worker {
  private static final class Task {
    final String id;
    final BigInteger attempt;
    final Site.Job job;
    String state = "pulling";
    String cause;
    boolean stored;
    boolean fails;
    double until;

    Task(String id, BigInteger attempt, Site.Job job) {
      this.id = id;
      this.attempt = attempt;
      this.job = job;
    }
  }

  final Site site;
  final String id;
  final String type;
  final String zone;
  final boolean spot;
  final int port;
  private final double cpus;
  private final double memory;
  private final double pullRate;
  private Http.Server server;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Double> images = new HashMap<>();
  private final Set<String> results = new HashSet<>();
  private long shift = 1;
  private long tick;
  private BigInteger baton = BigInteger.ZERO;
  private double leaseFrom;
  private int node;
  private double nextReport;
  private double lastReport = -10;
  private boolean changed;
  private double batonToldAt = -100;
  private BigInteger batonTold = BigInteger.ZERO;
  volatile boolean gone;
  volatile double hangUntil;

  /** Until then the machine fails every task that it starts. */
  volatile double sickUntil;

  Worker(
      Site site,
      String id,
      String type,
      String zone,
      boolean spot,
      double cpus,
      double memory,
      double pullRate,
      int port)
      throws Exception {
    this.site = site;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.cpus = cpus;
    this.memory = memory;
    this.pullRate = pullRate;
    this.leaseFrom = site.now();
    this.node = site.random.nextInt(site.nodes());
    this.nextReport = site.now() + 0.1;
    server = new Http.Server(port, this::command);
    this.port = server.port();
    Http.thread(this::run);
    // Tasks go on and the lease runs while an answer is awaited.
    Http.thread(
        () -> {
          while (!gone) {
            Site.sleep(20);
            synchronized (this) {
              if (hangs()) {
                expire(); // it may go on within its lease, but not later
              } else if (!gone) {
                work();
              }
            }
          }
        });
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** The machine is taken: it stays silent from now on, and what was on it is gone. */
  synchronized void take(boolean freePort) {
    gone = true;
    dropTasks();
    if (freePort) {
      server.close();
    }
  }

  private void dropTasks() {
    tasks.values().forEach(task -> leave(task, "lost"));
    tasks.clear();
  }

  private void leave(Task task, String why) {
    if (!task.state.equals("pulling") && !task.state.equals("exited")) {
      site.left(task.id, id, task.attempt, why);
    }
  }

  private void exit(Task task, String cause) {
    leave(task, cause);
    task.state = "exited";
    task.cause = cause;
    changed = true;
    if (cause.equals("done")) {
      results.add(task.id);
      site.completed(task.id);
    }
  }

  private byte[] report() {
    tick += site.tickStep;
    List<Object> pieces = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> piece =
          Json.object("Piece", task.id, "Try", task.attempt, "Status", task.state);
      if (task.cause != null) {
        piece.put("Cause", task.cause);
        if (task.stored) {
          piece.put("Stored", true);
        }
      }
      pieces.add(piece);
    }
    return Json.write(
        Json.object(
            "Host", id, "Addr", address(), "Hull", type, "Yard", zone, "Loaners", spot, "Shift",
            shift, "Tick", tick, "Baton", baton, "RecallS", null, "Pieces", pieces));
  }

  private boolean hangs() {
    return site.now() < hangUntil;
  }

  private void run() {
    while (!gone) {
      Site.sleep(20);
      if (hangs()) {
        continue;
      }
      final byte[] body;
      long sentShift;
      double sentAt;
      synchronized (this) {
        if (gone) {
          return;
        }
        work();
        double now = site.now();
        boolean higher =
            baton.compareTo(batonTold) > 0 && now - batonToldAt > site.leaseS / 2;
        if (now < nextReport && !((changed || higher) && now - lastReport >= 0.5)) {
          continue;
        }
        if (higher) {
          batonToldAt = now;
        }
        changed = false;
        batonTold = baton;
        lastReport = now;
        sentAt = now;
        sentShift = shift;
        body = report();
      }
      int to = node;
      if (site.random.nextDouble() < site.lateReports) {
        // A copy arrives again later, at any controller.
        int copyTo = site.random.nextInt(site.nodes());
        long after = 2000 + site.random.nextInt(20_000);
        Http.thread(
            () -> {
              Site.sleep(after);
              Http.call(site.userPort(copyTo), "POST", "/agent/beat", body, 4000);
            });
      }
      Http.Response response =
          site.canReach(this, to)
              ? Http.call(site.userPort(to), "POST", "/agent/beat", body, 4000)
              : Http.Response.NONE;
      if (!site.canReach(this, to) && response.status() == 0) {
        // The network drops what is sent: the worker notices after its time limit.
        while (!gone && site.now() < sentAt + 4) {
          Site.sleep(20);
        }
      }
      while (hangs() && !gone) {
        Site.sleep(20);
      }
      if (site.deaf.test(this)) {
        response = Http.Response.NONE;
        while (!gone && site.now() < sentAt + 4) {
          Site.sleep(20);
        }
      }
      synchronized (this) {
        if (gone) {
          return;
        }
        work();
        answered(response, to, sentShift, sentAt);
      }
    }
  }

  /** Ends the session once its lease is over. */
  private void expire() {
    double now = site.now();
    if (now - leaseFrom > site.leaseS) {
      dropTasks();
      shift++;
      leaseFrom = now;
      changed = true;
      site.record("worker", id + " lost its lease, next session " + shift);
    }
  }

  /** Lets tasks make progress, and ends the session once its lease is over. */
  private void work() {
    expire();
    double now = site.now();
    for (Task task : List.copyOf(tasks.values())) {
      if (task.state.equals("pulling") && now >= images.get(task.job.bundle)) {
        task.state = "running";
        task.until = now + task.job.runS;
        changed = true;
        site.started(task.id, this, task.attempt);
        task.fails = now < sickUntil;
        if (task.fails) {
          task.until = now + 0.3;
        }
        if (results.contains(task.id)) {
          exit(task, "done");
        }
      } else if (task.state.equals("running") && now >= task.until) {
        exit(task, task.fails ? "error" : "done");
      } else if (task.state.equals("saving") && now >= task.until) {
        task.stored = true;
        exit(task, "stopped");
      }
    }
  }

  private void answered(Http.Response response, int from, long sentShift, double sentAt) {
    double now = site.now();
    boolean next = true;
    try {
      if (response.status() == 200) {
        next = false;
        Map<?, ?> in = (Map<?, ?>) Json.parse(response.body());
        BigInteger token =
            in.get("Baton") == null
                ? BigInteger.valueOf(-1)
                : new BigInteger(in.get("Baton").toString());
        if (token.compareTo(baton) >= 0 && sentShift == shift) {
          baton = token;
          leaseFrom = Math.max(leaseFrom, sentAt);
          execute((List<?>) in.get("Orders"));
        }
      } else if (response.status() == 421) {
        Map<?, ?> in = (Map<?, ?>) Json.parse(response.body());
        int to = in.get("AnswerTo") == null ? -1 : site.nodeNamed((String) in.get("AnswerTo"));
        if (to >= 0 && to != from) {
          node = to;
          nextReport = now + site.random.nextDouble() * 0.5;
          return;
        }
      }
    } catch (Exception e) {
      next = true;
    }
    if (next) {
      node = (from + 1) % site.nodes();
      nextReport = now + 1;
    } else {
      nextReport = now + site.reportS * (0.75 + 0.5 * site.random.nextDouble());
    }
  }

  /** How many more tasks of a job fit. */
  synchronized int freeSlots(Site.Job job) {
    return gone
        ? 0
        : (int) Math.min((cpus - used(false)) / job.cpus, (memory - used(true)) / job.memory);
  }

  private double used(boolean ofMemory) {
    double used = 0;
    for (Task task : tasks.values()) {
      if (!task.state.equals("exited")) {
        used += ofMemory ? task.job.memory : task.job.cpus;
      }
    }
    return used;
  }

  private void execute(List<?> orders) {
    double now = site.now();
    for (Object item : orders == null ? List.of() : orders) {
      Map<?, ?> order = (Map<?, ?>) item;
      String piece = (String) order.get("Piece");
      BigInteger attempt = new BigInteger(order.get("Try").toString());
      String key = piece + "#" + attempt;
      Task known = tasks.get(key);
      switch ((String) order.get("Verb")) {
        case "start" -> {
          if (known != null) {
            break;
          }
          Site.Job job = site.job(piece.substring(0, piece.indexOf('/')));
          Task task = new Task(piece, attempt, job);
          tasks.put(key, task);
          changed = true;
          String refusal =
              job == null
                  ? "no_such"
                  : tasks.values().stream()
                          .anyMatch(
                              other ->
                                  other != task
                                      && other.id.equals(piece)
                                      && !other.state.equals("exited"))
                      ? "in_use"
                      : used(false) > cpus + 1e-6 || used(true) > memory + 1e-6 ? "full" : null;
          site.record("start", piece + " try " + attempt + " at " + id
              + (refusal == null ? "" : " refused: " + refusal));
          if (refusal != null) {
            task.state = "exited";
            task.cause = refusal;
          } else {
            images.putIfAbsent(job.bundle, now + job.imageGb / pullRate);
          }
        }
        case "halt" -> {
          if (known == null || known.state.equals("exited")) {
            break;
          }
          double grace = ((Number) order.get("WindDownS")).doubleValue();
          if (known.state.equals("running")
              && known.job.markEveryS > 0
              && grace >= known.job.markCostS) {
            known.state = "saving";
            known.until = now + known.job.markCostS;
            changed = true;
          } else if (!known.state.equals("saving") || grace == 0) {
            exit(known, "stopped");
          }
        }
        case "clear" -> {
          if (known != null && known.state.equals("exited")) {
            tasks.remove(key);
            changed = true;
          }
        }
        default -> throw new IllegalArgumentException(String.valueOf(order));
      }
    }
  }

  private Http.Response command(Http.Request request) throws Exception {
    while (hangs() && !gone) {
      Site.sleep(20);
    }
    if (gone || site.isDark(this) || site.deaf.test(this)) {
      Site.sleep(30_000);
      return Http.Response.NONE;
    }
    boolean late = request.path().equals("/orders") && site.random.nextDouble() < site.lateCommands;
    if (late) {
      Site.sleep(2000 + site.random.nextInt(14_000));
    }
    synchronized (this) {
      if (request.path().equals("/status")) {
        return new Http.Response(200, report());
      }
      work();
      Map<?, ?> in = (Map<?, ?>) Json.parse(request.body());
      if (in.get("Baton") == null || in.get("Shift") == null) {
        return new Http.Response(400, new byte[0]);
      }
      BigInteger token = new BigInteger(in.get("Baton").toString());
      if (token.compareTo(baton) < 0 || (Long) in.get("Shift") != shift) {
        return new Http.Response(409, report());
      }
      baton = token;
      execute((List<?>) in.get("Orders"));
      return late ? Http.Response.NONE : new Http.Response(200, report());
    }
  }
}
