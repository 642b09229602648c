package org.quincecross.wire;

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
  public static byte[] write(Settings settings, Settings.StateLimits next) {
    List<Object> siblings = new ArrayList<>();
    for (Settings.Sibling sibling : settings.siblings()) {
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
              "kind", objective.kind(), "times", objective.times(), "share", objective.share());
      if (objective.jobClass() != null) {
        out.put("class", objective.jobClass());
      }
      if (objective.within() != null) {
        out.put("within_s", objective.within().seconds());
      }
      objectives.add(out);
    }
    Settings.Workers workers = settings.workers();
    Map<String, Object> state = limits(settings.stateLimits());
    if (next != null) {
      state.put("next", limits(next));
    }
    Map<String, Object> params =
        Json.object(
            "nodes",
            settings.siblings().size() + 1,
            "zones",
            settings.zones(),
            "teams",
            teams,
            "objectives",
            objectives,
            "workers",
            Json.object(
                "report_s",
                workers.report().seconds(),
                "lease_s",
                workers.lease().seconds(),
                "gang_wait_s",
                workers.gangWait().seconds(),
                "gang_peer_s",
                workers.gangPeer().seconds(),
                "cancel_s",
                workers.cancel().seconds()),
            "state",
            state,
            "cloud",
            Json.object(
                "rps",
                settings.cloudLimits().requestsPerS(),
                "list_lag_s",
                settings.cloudLimits().listLag().seconds()),
            "quota",
            Json.object(
                "cpu",
                settings.quota().cpuShare(),
                "ram_mb",
                settings.quota().memoryMb(),
                "fd_limit",
                settings.quota().sockets()),
            "time_bound_ms",
            settings.clockBound().seconds() * 1000);
    return Json.write(
        Json.object(
            "member",
            settings.member().text(),
            "site",
            settings.zone(),
            "listen",
            settings.listen().toString(),
            "peer_bind",
            settings.peerListen().toString(),
            "siblings",
            siblings,
            "external",
            Json.object("cloud", settings.cloud().toString(), "state", settings.state().toString()),
            "params",
            params));
  }

  private static Map<String, Object> limits(Settings.StateLimits limits) {
    return Json.object(
        "rps",
        limits.requestsPerS(),
        "write_rps",
        limits.writesPerS(),
        "value_kb",
        limits.valueBytes() / 1024.0,
        "txn_ops",
        limits.txnChanges());
  }

  private static double orNone(double limit) {
    return Double.isInfinite(limit) ? 0 : limit;
  }
}
