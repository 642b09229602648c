package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A task moves to another machine; then a copy of the request that first started it arrives. */
final class LateCopy {
  private LateCopy() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Site.Figures figures =
        new Site.Figures(
            List.of("almaty", "astana"),
            List.of(Json.object("name", "core-tech", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0)),
            0.8, 11, 20, 2, 36, 200, 15, 4, 8, 2, 8, 4);
    int status = 2;
    try (Site site = new Site(figures, Path.of(args[0]))) {
      status = run(site, trouble);
      site.say("exit status %d", status);
    }
    System.exit(status);
  }

  private static Map<String, Object> job(
      String uid, String shape, String rank, double cpus, String yard, double guessS) {
    return Json.object(
        "Uid", uid, "Lane", "menu-sync", "Crew", "core-tech", "Shape", shape, "Rank", rank,
        "Pieces", 1, "Cpus", cpus, "Cards", 0.0, "MemGb", 2.0, "Bundle", "img-07", "ImageGb", 0.1,
        "Hulls", null, "Yard", yard, "OneZone", false, "Scatter", false, "Loaners", false,
        "GuessS", guessS, "MarkEveryS", 0.0, "MarkCostS", 0.0, "DueS", null);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    site.cloud.offer("kishi-8", 8, 0, 32, 15, site.figures.zones());
    Map<Worker, String> zones = new ConcurrentHashMap<>();
    for (String zone : site.figures.zones()) {
      zones.put(site.cloud.up("kishi-8", zone, false), zone);
    }
    Map<Worker, String> starts = new ConcurrentHashMap<>();
    String piece = "job-000412/0";
    for (Worker worker : zones.keySet()) {
      worker.tap =
          (machine, body) -> {
            if (body.contains("\"start\"") && body.contains(piece) && starts.isEmpty()) {
              starts.put(machine, body);
              site.say("%s receives: %s", machine.id, body);
            }
          };
    }
    site.startAll();
    if (!site.awaitUp(20)) {
      return 2;
    }
    Site.sleep(3);
    Worker.JOBS.put("job-000412", new Worker.Job("job-000412", 5, 2, "img-07", 0.1, 300, 1));
    Worker.JOBS.put("job-000413", new Worker.Job("job-000413", 8, 2, "img-07", 0.1, 0, 1));
    if (!ask(site, "POST", "/v2/runs", job("job-000412", "sweep", "idle", 5, null, 300))) {
      return 2;
    }
    Worker first = await(site, zones.keySet(), piece, null);
    if (first == null || !starts.containsKey(first)) {
      site.say("the task was not started by a direct command");
      return 2;
    }
    // Urgent work that only the first machine's zone may run displaces the task.
    if (!ask(site, "POST", "/v2/runs", job("job-000413", "standing", "critical", 8, zones.get(first), 0))) {
      return 2;
    }
    Worker second = await(site, zones.keySet(), piece, first);
    if (second == null || !ask(site, "POST", "/v2/runs/job-000413/cancel", null)) {
      return 2;
    }
    for (int i = 0; i < 100 && (first.holds("job-000413/0") || first.holds(piece)); i++) {
      Site.sleep(0.1);
    }
    site.say("%s: nothing is left on it; %s is on %s", first.id, piece, second.id);
    Site.sleep(2);
    if (trouble) {
      site.say("a late copy of that request arrives at %s", first.id);
      try (Web.Client network = new Web.Client(first.port())) {
        Object copy = Json.parse(starts.get(first));
        site.say("it answers: %s", network.call("POST", "/orders", copy, 2000));
      }
    }
    double until = site.now() + 5;
    boolean twice = false;
    while (site.now() < until) {
      if (first.isOn(piece) && second.isOn(piece) && !twice) {
        twice = true;
        site.say("RULE BROKEN, ran_twice: %s is on %s and on %s", piece, first.id, second.id);
      }
      Site.sleep(0.005);
    }
    return twice ? 1 : 0;
  }

  /** Asks at one controller after the other until it is answered with 200 or 201. */
  private static boolean ask(Site site, String method, String path, Object body) {
    for (int i = 0; i < 30; i++) {
      try (Web.Client user = new Web.Client(site.controllers.get(i % 3).port)) {
        Web.Answer answer = user.call(method, path, body, 5000);
        site.say("%s %s: %s", method, path, answer);
        if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
          return true;
        }
      }
      Site.sleep(1);
    }
    return false;
  }

  private static Worker await(Site site, Iterable<Worker> machines, String piece, Worker not) {
    double until = site.now() + 30;
    while (site.now() < until) {
      for (Worker worker : machines) {
        if (worker != not && worker.isOn(piece)) {
          return worker;
        }
      }
      Site.sleep(0.02);
    }
    return null;
  }
}
