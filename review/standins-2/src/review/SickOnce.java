package review;

import java.math.BigInteger;
import java.nio.file.Path;

/**
 * The only machine of a zone fails what it starts for a few seconds, and one task fails there.
 * Afterwards no job may wait for 90 s while a machine that fits has room.
 */
final class SickOnce {
  private static final double WAIT_S = 90;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Site site =
        new Site(Path.of(args[0]), Path.of(args[1]), Site.Deployment.DASTARKHAN, BigInteger::valueOf)) {
      for (int i = 0; i < 6; i++) {
        site.cloud.boot("almaty", false, 0);
      }
      String only = site.cloud.boot("astana", false, 0);
      for (int node = 0; node < 3; node++) {
        site.start(node);
      }
      if (site.ready(7)) {
        result = play(site, only, trouble);
      } else {
        site.record("result", "the site was not ready in time");
      }
    } catch (Exception e) {
      e.printStackTrace();
      result = 2;
    }
    System.exit(result);
  }

  private static int play(Site site, String only, boolean trouble) throws Exception {
    Worker machine =
        site.cloud.workers().stream().filter(each -> each.id.equals(only)).findFirst().get();
    // Two tasks that need six of the machine's eight CPUs each: they run one after the other.
    Site.Job job = new Site.Job("job-000001", "core-tech-1", "sweep", 2, 6, 2.8, 4);
    job.zone = "astana";
    job.guessS = 40;
    if (!site.submit(job)) {
      return 2;
    }
    while (site.running(job.id) == 0 && site.now() < 10) {
      Site.sleep(50);
    }
    if (site.running(job.id) == 0) {
      site.record("result", "the first task did not start in time");
      return 2;
    }
    if (trouble) {
      machine.sickUntil = site.now() + 10;
      site.record("sick", only + " fails every task that it starts for 10 s");
    }
    Site.sleep(10_000);
    site.record("sick", "over");
    double from = site.now();
    while (site.now() < from + WAIT_S + 1) {
      if (site.completedOf(job.id) == 2) {
        site.record("result", "the job has run " + (site.now() - from) + " s later");
        return 0;
      }
      Site.sleep(1000);
      if ((int) (site.now() - from) % 10 == 0) {
        site.poll(job.id);
        site.record("free", "room for " + machine.freeSlots(job) + " tasks of the job at " + only);
      }
    }
    site.record("result", "broken: a task of " + job.id + " has waited for " + WAIT_S
        + " s, and " + only + " has room for " + machine.freeSlots(job) + " of it");
    return machine.freeSlots(job) > 0 ? 1 : 2;
  }
}
