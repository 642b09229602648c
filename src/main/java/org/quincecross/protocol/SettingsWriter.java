package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Team;

/**
 * Writes a settings file for controllers that this program starts itself; {@link SettingsReader}
 * reads it.
 */
public final class SettingsWriter {
  private SettingsWriter() {}

  /** Writes a settings file without announced limits. */
  public static byte[] write(Settings settings) {
    return write(settings, null);
  }

  /**
   * Writes a settings file with announced limits.
   *
   * @param next limits that the store will apply at some later moment; null if none are announced
   */
  public static byte[] write(Settings settings, Settings.StoreLimits next) {
    return Json.write(
        Json.object(
            "member",
            settings.self().text(),
            "site",
            settings.zone(),
            "listen",
            settings.listenAddress().toString(),
            "peer_bind",
            settings.peerAddress().toString(),
            "siblings",
            peers(settings.peers()),
            "external",
            Json.object(
                "cloud",
                settings.cloudAddress().toString(),
                "state",
                settings.storeAddress().toString()),
            "params",
            params(settings, next)));
  }

  private static Map<String, Object> params(Settings settings, Settings.StoreLimits next) {
    Map<String, Object> store = limits(settings.storeLimits());
    if (next != null) {
      store.put("next", limits(next));
    }
    return Json.object(
        "nodes",
        settings.peers().size() + 1,
        "zones",
        settings.zones(),
        "teams",
        teams(settings.teams().values()),
        "objectives",
        objectives(settings.objectives()),
        "workers",
        timeouts(settings.agentTimeouts()),
        "state",
        store,
        "cloud",
        Json.object(
            "rps",
            settings.cloudLimits().requestsPerSecond(),
            "list_lag_s",
            settings.cloudLimits().listLag().seconds()),
        "quota",
        Json.object(
            "cpu",
            settings.processLimits().cpuShare(),
            "ram_mb",
            settings.processLimits().memoryMb(),
            "fd_limit",
            settings.processLimits().maxSockets()),
        "time_bound_ms",
        settings.clockBound().seconds() * 1000);
  }

  private static List<Object> peers(List<Settings.Peer> peers) {
    List<Object> out = new ArrayList<>();
    for (Settings.Peer peer : peers) {
      out.add(
          Json.object(
              "member",
              peer.id().text(),
              "site",
              peer.zone(),
              "endpoint",
              peer.address().toString()));
    }
    return out;
  }

  private static List<Object> teams(Collection<Team> teams) {
    List<Object> out = new ArrayList<>();
    for (Team team : teams) {
      out.add(
          Json.object(
              "name",
              team.name(),
              "cpus",
              team.guarantee().cpus(),
              "cpus_max",
              zeroIfUnlimited(team.limit().cpus()),
              "gpus",
              team.guarantee().gpus(),
              "gpus_max",
              zeroIfUnlimited(team.limit().gpus())));
    }
    return out;
  }

  private static List<Object> objectives(List<Settings.Objective> objectives) {
    List<Object> list = new ArrayList<>();
    for (Settings.Objective objective : objectives) {
      Map<String, Object> out =
          Json.object(
              "kind",
              objective.kind(),
              "times",
              objective.deadlineFactor(),
              "share",
              objective.targetShare());
      if (objective.jobClass() != null) {
        out.put("class", objective.jobClass());
      }
      if (objective.timeLimit() != null) {
        out.put("within_s", objective.timeLimit().seconds());
      }
      list.add(out);
    }
    return list;
  }

  private static Map<String, Object> timeouts(Settings.AgentTimeouts timeouts) {
    return Json.object(
        "report_s",
        timeouts.heartbeatInterval().seconds(),
        "lease_s",
        timeouts.lease().seconds(),
        "gang_wait_s",
        timeouts.gangStartTimeout().seconds(),
        "gang_peer_s",
        timeouts.gangPeerTimeout().seconds(),
        "cancel_s",
        timeouts.cancelTimeout().seconds());
  }

  private static Map<String, Object> limits(Settings.StoreLimits limits) {
    return Json.object(
        "rps",
        limits.requestsPerSecond(),
        "write_rps",
        limits.writesPerSecond(),
        "value_kb",
        limits.maxValueBytes() / 1024.0,
        "txn_ops",
        limits.maxMutationsPerTransaction());
  }

  private static double zeroIfUnlimited(double limit) {
    return Double.isInfinite(limit) ? 0 : limit;
  }
}
