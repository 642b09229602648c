package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Team;

/**
 * Writes a settings file as {@link Settings#read} takes it: for sites that this program makes
 * itself.
 */
public final class SettingsWriter {
  private SettingsWriter() {}

  public static byte[] write(Settings settings) {
    return write(settings, null);
  }

  /**
   * Writes a settings file with limits to come.
   *
   * @param next what the state service will allow from some moment on; null where nothing is said
   *     of that
   */
  public static byte[] write(Settings settings, Settings.StoreLimits next) {
    List<Object> siblings = new ArrayList<>();
    for (Settings.Peer sibling : settings.peers()) {
      siblings.add(
          Json.object(
              "member",
              sibling.member().text(),
              "site",
              sibling.zone(),
              "endpoint",
              sibling.endpoint().toString()));
    }
    List<Object> teams = new ArrayList<>();
    for (Team team : settings.teams().values()) {
      teams.add(
          Json.object(
              "name",
              team.name(),
              "cpus",
              team.guarantee().cpus(),
              "cpus_max",
              orNone(team.limit().cpus()),
              "gpus",
              team.guarantee().gpus(),
              "gpus_max",
              orNone(team.limit().gpus())));
    }
    List<Object> objectives = new ArrayList<>();
    for (Settings.Objective objective : settings.objectives()) {
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
      objectives.add(out);
    }
    Settings.AgentTimeouts workers = settings.agentTimeouts();
    Map<String, Object> state = limits(settings.storeLimits());
    if (next != null) {
      state.put("next", limits(next));
    }
    Map<String, Object> params =
        Json.object(
            "nodes",
            settings.peers().size() + 1,
            "zones",
            settings.zones(),
            "teams",
            teams,
            "objectives",
            objectives,
            "workers",
            Json.object(
                "report_s",
                workers.heartbeatInterval().seconds(),
                "lease_s",
                workers.lease().seconds(),
                "gang_wait_s",
                workers.gangStartTimeout().seconds(),
                "gang_peer_s",
                workers.gangPeerTimeout().seconds(),
                "cancel_s",
                workers.cancelTimeout().seconds()),
            "state",
            state,
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
            siblings,
            "external",
            Json.object(
                "cloud",
                settings.cloudAddress().toString(),
                "state",
                settings.storeAddress().toString()),
            "params",
            params));
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

  private static double orNone(double limit) {
    return Double.isInfinite(limit) ? 0 : limit;
  }
}
