package review;

import java.math.BigInteger;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * Two machines lose the network for a few seconds. The workers' `Tick` increases by more than one.
 * Afterwards no job may wait for 90 s while a machine that fits has room.
 */
final class TickStep {
  private static final double WAIT_S = 90;
  private static final double CUT_S = 9;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Site site =
        new Site(Path.of(args[0]), Path.of(args[1]), Site.Deployment.KERLANN, BigInteger::valueOf)) {
      // For comparison, STEP=1 lets `Tick` count by one.
      site.tickStep = Integer.parseInt(System.getenv().getOrDefault("STEP", "10"));
      for (int i = 0; i < 6; i++) {
        site.cloud.boot("rennes", false, 0);
        site.cloud.boot("lannion", false, 0);
      }
      for (int node = 0; node < 3; node++) {
        site.start(node);
      }
      if (site.ready(12)) {
        Site.sleep(2000);
        result = play(site, trouble);
      } else {
        site.record("result", "the site was not ready in time");
      }
    } catch (Exception e) {
      e.printStackTrace();
      result = 2;
    }
    System.exit(result);
  }

  private static int play(Site site, boolean trouble) throws Exception {
    Set<Worker> cut = new HashSet<>();
    for (Worker worker : site.cloud.workers()) {
      if (worker.zone.equals("rennes") && cut.size() < 2) {
        cut.add(worker);
      }
    }
    if (trouble) {
      site.record("cut", cut.stream().map(worker -> worker.id).toList() + " lose the network");
      site.dark = cut::contains;
    }
    Site.sleep((long) (CUT_S * 1000));
    site.dark = worker -> false;
    site.record("cut", "over");
    Site.sleep(2000);
    // Replicas for which the four other machines of rennes are enough, and then four more.
    Site.Job more = new Site.Job("job-000001", "plateforme", "standing", 16, 4, 28, 1e6);
    more.zone = "rennes";
    more.rank = "critical";
    if (!site.submit(more)) {
      return 2;
    }
    Site.sleep(4000);
    Site.Job job = new Site.Job("job-000002", "indexation", "standing", 4, 4, 28, 1e6);
    job.zone = "rennes";
    job.rank = "critical";
    if (!site.submit(job)) {
      return 2;
    }
    double from = site.now();
    while (site.now() < from + WAIT_S + 1) {
      if (site.running(job.id) > 0) {
        site.record("result", "the job runs after " + (site.now() - from) + " s");
        return 0;
      }
      Site.sleep(1000);
      if ((int) (site.now() - from) % 10 == 0) {
        site.poll(job.id);
        site.record("free", "replicas running: " + site.running(more.id) + " of 16, "
            + site.running(job.id) + " of 4; room in rennes for " + freeSlots(site, job));
      }
    }
    site.record("result", "broken: " + job.id + " has waited for " + WAIT_S
        + " s while machines of rennes have room for " + freeSlots(site, job) + " of its tasks");
    return freeSlots(site, job) > 0 ? 1 : 2;
  }

  private static int freeSlots(Site site, Site.Job job) {
    int slots = 0;
    for (Worker worker : site.cloud.workers()) {
      slots += worker.zone.equals("rennes") ? worker.freeSlots(job) : 0;
    }
    return slots;
  }
}
