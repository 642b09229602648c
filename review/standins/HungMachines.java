package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A large array of small tasks on six machines of one zone, four of which hang for a while. */
final class HungMachines {
  private static final double RUN_S = 8;
  private static final double HANG_S = 14;
  private static final double UNANSWERED_S = 75;

  private HungMachines() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Site.Figures figures =
        new Site.Figures(
            List.of("rennes", "lannion", "brest"),
            List.of(
                Json.object("name", "requetes", "cpus", 104.0, "cpus_max", 232.0, "gpus", 0.0, "gpus_max", 0.0),
                Json.object("name", "indexation", "cpus", 144.0, "cpus_max", 520.0, "gpus", 0.0, "gpus_max", 0.0),
                Json.object("name", "plateforme", "cpus", 176.0, "cpus_max", 520.0, "gpus", 0.0, "gpus_max", 0.0)),
            3, 24, 35, 4, 54, 200, 80, 8, 24, 4, 8, 8);
    int status = 2;
    try (Site site = new Site(figures, Path.of(args[0]))) {
      status = run(site, trouble);
      site.say("exit status %d", status);
    }
    System.exit(status);
  }

  private static int run(Site site, boolean trouble) throws Exception {
    site.cloud.offer("menhir-16", 16, 0, 128, 35, site.figures.zones());
    for (String zone : List.of("rennes", "lannion")) {
      for (int i = 0; i < 5; i++) {
        site.cloud.up("menhir-16", zone, false);
      }
    }
    site.startAll();
    if (!site.awaitUp(20)) {
      return 2;
    }
    Site.sleep(13); // the controllers have settled on the newest form of their records
    String uid = "job-000412";
    Worker.JOBS.put(uid, new Worker.Job(uid, 0.04, 0.1, "img-07", 0.1, RUN_S, 9_999));
    Map<String, Object> job =
        Json.object(
            "Uid", uid, "Lane", "probe-swarm", "Crew", "indexation", "Shape", "sweep", "Rank", "standard",
            "Pieces", 9_999, "Cpus", 0.04, "Cards", 0.0, "MemGb", 0.1, "Bundle", "img-07", "ImageGb", 0.1,
            "Hulls", null, "Yard", null, "OneZone", false, "Scatter", false, "Loaners", false,
            "GuessS", RUN_S, "MarkEveryS", 0.0, "MarkCostS", 0.0, "DueS", null);
    boolean accepted = false;
    for (int i = 0; i < 20 && !accepted; i++) {
      try (Web.Client user = new Web.Client(site.controllers.get(i % 3).port)) {
        Web.Answer answer = user.call("POST", "/v2/runs", job, 5000);
        site.say("submitted %s: %s", uid, answer);
        accepted = answer != null && (answer.status() == 201 || answer.status() == 200);
      }
      Site.sleep(accepted ? 0 : 1);
    }
    if (!accepted) {
      return 2;
    }
    Site.sleep(4);
    List<Worker> machines = site.cloud.workers();
    double until = site.now() + HANG_S;
    if (trouble) {
      for (int i : new int[] {0, 1, 3, 5, 6, 8}) {
        machines.get(i).hang(HANG_S);
      }
    }
    double answeredAt = until;
    double end = until + UNANSWERED_S + 1;
    while (site.now() < end) {
      StringBuilder out = new StringBuilder();
      for (Site.Controller controller : site.controllers) {
        try (Web.Client user = new Web.Client(controller.port)) {
          Web.Answer answer = user.call("GET", "/v2/runs/" + uid, null, 2000);
          out.append(answer == null ? "no answer" : answer.status() + " " + answer.body()).append("; ");
          if (answer != null && answer.status() == 200) {
            answeredAt = Math.max(answeredAt, site.now());
          }
        }
      }
      site.say("poll at each controller: %s", out);
      site.say("values: %s%s", site.state.lengths("q/alloc"), site.state.lengths("q/change"));
      if (!trouble && site.now() > until + 15) {
        break;
      }
      Site.sleep(2);
    }
    double silence = site.now() - answeredAt;
    site.say("since the machines went on, no question about %s was answered for %.1f s", uid, silence);
    return silence > UNANSWERED_S ? 1 : 0;
  }
}
