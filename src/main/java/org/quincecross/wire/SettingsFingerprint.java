package org.quincecross.wire;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.zip.CRC32;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;

/**
 * Checksums of the parts of the settings that have to be equal on all controllers. Controllers of
 * different builds compare them, so the text that is summed is part of the protocol: it spells the
 * names that the first builds used, whatever the types are called now.
 */
final class SettingsFingerprint {
  private SettingsFingerprint() {}

  /** The checksum of each part, by the name under which controllers announce it. */
  static Map<String, String> of(Settings settings) {
    return Map.of(
        "teams",
        checksum(teams(settings.teams())),
        "workers",
        checksum(workers(settings.workers())),
        "objectives",
        checksum(objectives(settings.objectives())),
        "zones",
        checksum(settings.zones().toString()),
        "state limits",
        checksum(limits(settings.stateLimits())));
  }

  private static String checksum(String text) {
    CRC32 sum = new CRC32();
    sum.update(text.getBytes(StandardCharsets.UTF_8));
    return Long.toHexString(sum.getValue());
  }

  private static String teams(Map<String, Team> teams) {
    return teams.entrySet().stream()
        .map(each -> each.getKey() + "=" + team(each.getValue()))
        .collect(Collectors.joining(", ", "{", "}"));
  }

  private static String team(Team team) {
    return "Team[name="
        + team.name()
        + ", guarantee="
        + resources(team.guarantee())
        + ", limit="
        + resources(team.limit())
        + "]";
  }

  private static String resources(Resources resources) {
    return "Resources[cpus="
        + resources.cpus()
        + ", gpus="
        + resources.gpus()
        + ", memoryGb="
        + resources.memoryGb()
        + "]";
  }

  private static String workers(Settings.Workers workers) {
    return "Workers[report="
        + workers.report()
        + ", lease="
        + workers.lease()
        + ", gangWait="
        + workers.gangWait()
        + ", gangPeer="
        + workers.gangPeer()
        + ", cancel="
        + workers.cancel()
        + "]";
  }

  private static String objectives(List<Settings.Objective> objectives) {
    return list(objectives.stream().map(SettingsFingerprint::objective).toList());
  }

  private static String objective(Settings.Objective objective) {
    return "Objective[kind="
        + objective.kind()
        + ", jobClass="
        + objective.jobClass()
        + ", within="
        + objective.within()
        + ", times="
        + objective.times()
        + ", share="
        + objective.share()
        + "]";
  }

  private static String limits(Settings.StateLimits limits) {
    return "StateLimits[requestsPerS="
        + limits.requestsPerS()
        + ", writesPerS="
        + limits.writesPerS()
        + ", valueBytes="
        + limits.valueBytes()
        + ", txnChanges="
        + limits.txnChanges()
        + "]";
  }

  private static String list(Collection<String> items) {
    return "[" + String.join(", ", items) + "]";
  }
}
