package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Users submit jobs until the service takes no more for want of memory; then all controllers crash. */
final class ManyJobs {
  private static final int USERS = 300;
  private static final int MOST_JOBS = Integer.getInteger("jobs", 32_000);
  private static final int LEAST_JOBS = 31_500;
  private static final double LOAD_UNTIL_S = 26;
  private static final double UNANSWERED_S = 75;

  private ManyJobs() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Site.Figures figures =
        new Site.Figures(
            List.of("rennes", "lannion", "brest"),
            List.of(
                Json.object("name", "requetes", "cpus", 104.0, "cpus_max", 232.0, "gpus", 0.0, "gpus_max", 0.0),
                Json.object("name", "labo-signal", "cpus", 0.0, "cpus_max", 48.0, "gpus", 0.0, "gpus_max", 0.0)),
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
    for (String zone : site.figures.zones()) {
      site.cloud.up("menhir-16", zone, false);
    }
    site.startAll();
    if (!site.awaitUp(15)) {
      return 2;
    }
    List<String> accepted = submit(site);
    site.say("accepted: %d jobs", accepted.size());
    if (accepted.size() < LEAST_JOBS) {
      site.say("too few jobs in this time: the case cannot run here");
      return 2;
    }
    if (trouble) {
      site.controllers.forEach(Site.Controller::kill);
      Site.sleep(site.figures.backS());
      site.startAll();
    }
    double answeredAt = site.now();
    double end = site.now() + UNANSWERED_S + 0.3;
    int asked = 0;
    int answered = 0;
    while (site.now() < end) {
      for (Site.Controller controller : site.controllers) {
        String uid = accepted.get((int) (asked * 7919L % accepted.size()));
        try (Web.Client user = new Web.Client(controller.port)) {
          Web.Answer answer = user.call("GET", "/v2/runs/" + uid, null, 2000);
          asked++;
          if (answer != null && answer.status() == 200) {
            answered++;
            answeredAt = site.now();
          }
          if (asked % 15 == 0 || (answer != null && answer.status() == 404)) {
            site.say("berth-%d is asked about %s: %s", controller.index, uid, answer);
          }
        }
      }
      Site.sleep(0.3);
    }
    int ended = site.controllers.stream().mapToInt(each -> each.endedByItself).sum();
    site.say("%d questions about accepted jobs, %d answered; the controllers ended by themselves %d times", asked, answered, ended);
    double silence = site.now() - answeredAt;
    site.say("no question was answered for the last %.1f s", silence);
    return silence > UNANSWERED_S ? 1 : 0;
  }

  /** Submits jobs until enough are accepted, or the time is over. */
  private static List<String> submit(Site site) throws InterruptedException {
    AtomicInteger next = new AtomicInteger();
    List<String> accepted = Collections.synchronizedList(new ArrayList<>());
    Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    List<Thread> users = new ArrayList<>();
    for (int i = 0; i < USERS; i++) {
      int controller = i % 3;
      users.add(
          Web.daemon(
              () -> {
                Web.Client user = new Web.Client(site.controllers.get(controller).port);
                while (site.now() < LOAD_UNTIL_S && accepted.size() < MOST_JOBS) {
                  String uid = String.format("job-%06d", next.incrementAndGet());
                  boolean taken = false;
                  while (!taken && site.now() < LOAD_UNTIL_S && accepted.size() < MOST_JOBS) {
                    Web.Answer answer = user.call("POST", "/v2/runs", job(uid), 5000);
                    int status = answer == null ? 0 : answer.status();
                    answers.computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
                    taken = status == 201 || status == 200;
                    if (taken) {
                      accepted.add(uid);
                    } else {
                      Site.sleep(1);
                    }
                  }
                }
                user.close();
              }));
    }
    int lastSeen = 0;
    for (Thread user : users) {
      while (user.isAlive()) {
        user.join(2000);
        if (accepted.size() > lastSeen + 2000) {
          lastSeen = accepted.size();
          site.say("accepted %d, answers %s, the state service holds %d bytes", lastSeen, answers, site.state.bytes());
        }
      }
    }
    site.say("answers to submissions: %s, the state service holds %d bytes", answers, site.state.bytes());
    return new ArrayList<>(accepted);
  }

  private static Map<String, Object> job(String uid) {
    Worker.JOBS.put(uid, new Worker.Job(uid, 2, 4, "img-probe", 0.2, 300, 1));
    return Json.object(
        "Uid", uid, "Lane", "probe-swarm", "Crew", "labo-signal", "Shape", "sweep", "Rank", "idle",
        "Pieces", 1, "Cpus", 2.0, "Cards", 0.0, "MemGb", 4.0, "Bundle", "img-probe", "ImageGb", 0.2,
        "Hulls", null, "Yard", null, "OneZone", true, "Scatter", false, "Loaners", true,
        "GuessS", 300.0, "MarkEveryS", 15.0, "MarkCostS", 1.0, "DueS", 3600.0);
  }
}
