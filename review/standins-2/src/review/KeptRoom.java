package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Arrays come three times as often for a while. Afterwards no job may wait for 90 s while a machine
 * that fits has room.
 */
final class KeptRoom {
  private static final double WAIT_S = 90;

  /** Three times the 5.3 a minute of the page. */
  private static final long BETWEEN_MS = 3800;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Site site =
        new Site(
            Path.of(args[0]),
            Path.of(args[1]),
            Site.Deployment.DASTARKHAN,
            java.math.BigInteger::valueOf)) {
      // 12 and 7 machines, as many as the site file's cloud has of the kind.
      for (int i = 0; i < 12; i++) {
        site.cloud.boot("almaty", false, 0);
        if (i < 7) {
          site.cloud.boot("astana", false, 0);
        }
      }
      for (int node = 0; node < 3; node++) {
        site.start(node);
      }
      if (site.ready(19)) {
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

  private static Site.Job array(int number, int tasks, String zone) {
    Site.Job job =
        new Site.Job(
            String.format("job-%06d", number),
            "core-tech-" + (1 + number % 3),
            "sweep", tasks, 2, 2.8, 120);
    job.guessS = 120;
    job.zone = zone;
    return job;
  }

  private static int play(Site site, boolean trouble) throws Exception {
    Site.Job front = new Site.Job("job-000001", "core-tech-1", "standing", 2, 2, 2.1, 1e6);
    front.rank = "critical";
    front.scatter = true;
    // The leader is in one zone; the arrays may run in the other one only.
    String zone = site.leader() == 1 ? "almaty" : "astana";
    int places = zone.equals("almaty") ? 48 : 28;
    if (!site.submit(front) || !site.submit(array(2, places / 2, zone))) {
      return 2;
    }
    Site.sleep(BETWEEN_MS);
    int number = 3;
    if (trouble) {
      if (!site.submit(array(number++, places / 2 - 4, zone))) {
        return 2;
      }
      Site.sleep(BETWEEN_MS);
    }
    // Small arrays, until one finds no room that is not kept free; without the burst just one.
    Site.Job job = null;
    double from = 0;
    for (int i = 0; i < (trouble ? 4 : 1); i++) {
      job = array(number++, 1, zone);
      if (!site.submit(job)) {
        return 2;
      }
      from = site.now();
      Site.sleep(BETWEEN_MS);
      if (site.running(job.id) == 0) {
        break;
      }
    }
    site.record("burst", "over; the last job is " + job.id);
    while (site.now() < from + WAIT_S + 1) {
      if (site.running(job.id) > 0) {
        site.record("result", "the job runs after " + (site.now() - from) + " s");
        return 0;
      }
      Site.sleep(1000);
      if ((int) (site.now() - from) % 10 == 0) {
        site.poll(job.id);
        site.record("free", "room for " + freeSlots(site, job) + " tasks of " + job.id);
      }
    }
    for (int node = 0; node < 3; node++) {
      machines(site, node);
    }
    site.record("result", "broken: " + job.id + " has waited for " + WAIT_S
        + " s while machines have room for " + freeSlots(site, job) + " of its tasks");
    return freeSlots(site, job) > 0 ? 1 : 2;
  }

  /** Records which machines have room, as their controller sees it. */
  private static void machines(Site site, int node) throws Exception {
    byte[] body =
        Http.call(site.userPort(node), "GET", "/admin/machines", new byte[0], 2000).body();
    for (Object item : (List<?>) org.quincecross.protocol.Json.parse(body)) {
      Map<?, ?> machine = (Map<?, ?>) item;
      if (((Number) machine.get("free_cpus")).doubleValue() > 0) {
        site.record("machine", machine.get("machine") + " of " + machine.get("block") + " at "
            + Site.name(node) + ": free " + machine.get("free_cpus") + ", open "
            + machine.get("open") + ", queued " + machine.get("queued"));
      }
    }
  }

  private static int freeSlots(Site site, Site.Job job) {
    int slots = 0;
    for (Worker worker : site.cloud.workers()) {
      slots += worker.zone.equals(job.zone) ? worker.freeSlots(job) : 0;
    }
    return slots;
  }
}
