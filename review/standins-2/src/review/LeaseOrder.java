package review;

import java.math.BigInteger;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A controller crashes and is back 4 s later. The state service names leases by numbers that do not
 * rise. Afterwards no job may wait for 90 s while a machine that fits has room.
 */
final class LeaseOrder {
  private static final double WAIT_S = 90;

  /** For comparison: leases named by numbers that rise. */
  private static final boolean RISING = "1".equals(System.getenv("RISING"));

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Site site =
        new Site(
            Path.of(args[0]),
            Path.of(args[1]),
            Site.Deployment.DASTARKHAN,
            ids())) {
      // 22 machines at the start, as the page says; the cloud has no more to give.
      for (int i = 0; i < 12; i++) {
        site.cloud.boot("almaty", false, 0);
        if (i < 10) {
          site.cloud.boot("astana", false, 0);
        }
      }
      for (int node = 0; node < 3; node++) {
        site.start(node);
      }
      if (site.ready(22)) {
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

  /** Leases are named by numbers drawn at random, none of them twice. */
  private static Store.HoldIds ids() {
    java.util.Random random = new java.util.Random(2);
    java.util.Set<Integer> drawn = new java.util.HashSet<>();
    return number -> {
      int next = 1 + random.nextInt(1_000_000_000);
      while (!drawn.add(next)) {
        next = 1 + random.nextInt(1_000_000_000);
      }
      return BigInteger.valueOf(RISING ? number : next);
    };
  }

  private static int play(Site site, boolean trouble) throws Exception {
    int leader = site.leader();
    int victim = leader == 0 ? 2 : 0; // in almaty, and not the leader
    Site.Job front = new Site.Job("job-000001", "core-tech-1", "standing", 8, 2, 2.1, 1e6);
    front.rank = "critical";
    front.scatter = true;
    if (!site.submit(front)) {
      return 2;
    }
    while (site.running(front.id) < 8 && site.now() < 10) {
      Site.sleep(100);
    }
    if (trouble) {
      site.kill(victim);
      Site.sleep(4000);
      site.start(victim);
    } else {
      Site.sleep(4000);
    }
    // The trouble is over once the controller is back as a member, and a shard was leased to it.
    double until = site.now() + 12;
    while (trouble
        && site.now() < until
        && (owned(site, victim) == 0 || !member(site, victim))) {
      Site.sleep(100);
    }
    if (trouble && owned(site, victim) == 0) {
      site.record("result", "no shard was leased to " + Site.name(victim) + ": " + holders(site));
      return 2;
    }
    Site.sleep(1000);
    site.record("shards", String.valueOf(holders(site)));
    // Replicas for which the machines of one shard of almaty are enough, and then four more.
    Site.Job more = new Site.Job("job-000002", "core-tech-2", "standing", 24, 2, 2.1, 1e6);
    more.zone = "almaty";
    more.rank = "critical";
    if (!site.submit(more)) {
      return 2;
    }
    Site.sleep(5000);
    Site.Job job = new Site.Job("job-000003", "core-tech-3", "standing", 4, 2, 2.1, 1e6);
    job.zone = "almaty";
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
        site.record("free", "replicas running: " + site.running(more.id) + " of 24, "
            + site.running(job.id) + " of 4; room in almaty for " + freeSlots(site, job));
      }
    }
    site.record("result", "broken: " + job.id + " has waited for " + WAIT_S
        + " s while machines of almaty have room for " + freeSlots(site, job) + " of its tasks");
    return freeSlots(site, job) > 0 ? 1 : 2;
  }

  private static boolean member(Site site, int node) {
    return site.store.value("q/member/" + Site.name(node)) != null;
  }

  private static List<String> holders(Site site) {
    return site.shards().values().stream()
        .map(shard -> (Map<?, ?>) shard)
        .map(shard -> shard.get("zone") + ": " + shard.get("holder") + ", "
            + ((List<?>) shard.get("machines")).size() + " machines")
        .toList();
  }

  private static int owned(Site site, int node) {
    int count = 0;
    for (Object shard : site.shards().values()) {
      count +=
          ((Map<?, ?>) shard).get("holder").equals(Site.name(node))
                  && ((Map<?, ?>) shard).get("zone").equals("almaty")
              ? 1
              : 0;
    }
    return count;
  }

  /** How many more tasks of 2 CPUs the machines of almaty have room for. */
  private static int freeSlots(Site site, Site.Job job) {
    int slots = 0;
    for (Worker worker : site.cloud.workers()) {
      slots += worker.zone.equals("almaty") ? worker.freeSlots(job) : 0;
    }
    return slots;
  }
}
