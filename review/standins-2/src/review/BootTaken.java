package review;

import java.math.BigInteger;
import java.nio.file.Path;

/**
 * A spot machine is taken back while it boots. The job for which it was rented must run: the cloud
 * has more machines of its kind to give.
 */
final class BootTaken {
  private static final double WAIT_S = 100;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Site site =
        new Site(Path.of(args[0]), Path.of(args[1]), Site.Deployment.DASTARKHAN, BigInteger::valueOf)) {
      site.cloud.bootS = 15;
      for (String zone : site.zones) {
        site.cloud.capacity(zone, true, 12);
      }
      for (int i = 0; i < 3; i++) {
        site.cloud.boot("almaty", false, 0);
        site.cloud.boot("astana", true, 0);
      }
      for (int node = 0; node < 3; node++) {
        site.start(node);
      }
      if (site.ready(6)) {
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
    // Work that keeps the six machines busy for longer than the case.
    Site.Job first = new Site.Job("job-000001", "core-tech-1", "standing", 24, 2, 2.8, 1e6);
    first.rank = "critical";
    first.loaners = true;
    if (!site.submit(first)) {
      return 2;
    }
    while (site.running(first.id) < 24 && site.now() < 12) {
      Site.sleep(100);
    }
    if (site.running(first.id) < 24) {
      site.record("result", "the machines did not get busy in time");
      return 2;
    }
    Site.Job job = new Site.Job("job-000002", "core-tech-2", "sweep", 4, 2, 2.8, 3);
    job.loaners = true;
    if (!site.submit(job)) {
      return 2;
    }
    double until = site.now() + 12;
    while (site.cloud.booting().isEmpty() && site.now() < until) {
      Site.sleep(100);
    }
    if (site.cloud.booting().isEmpty()) {
      site.record("result", "no machine was rented");
      return 2;
    }
    Site.sleep(2000);
    if (trouble) {
      site.cloud.booting().forEach(site.cloud::take);
    }
    double from = site.now();
    int rented = site.cloud.rented();
    while (site.now() < from + WAIT_S) {
      if (site.completedOf(job.id) == 4) {
        site.record("result", "the job has run after " + (site.now() - from) + " s");
        return 0;
      }
      Site.sleep(1000);
      if ((int) (site.now() - from) % 10 == 0) {
        site.poll(job.id);
      }
    }
    site.record("result", "broken: " + job.id + " was accepted and has not run for " + WAIT_S
        + " s; machines rented since: " + (site.cloud.rented() - rented));
    return 1;
  }
}
