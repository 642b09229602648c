package org.quincecross.protocol;

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
 * different builds compare them, so the text that is summed is part of the protocol: it uses the
 * names of the first builds, whatever the types are called now.
 */
final class SettingsFingerprint {
  private SettingsFingerprint() {}

  /** The checksum of each part, by the name under which controllers announce it. */
  static Map<String, String> of(Settings settings) {
    return Map.of(
        "teams",
        checksum(teams(settings.teams())),
        "workers",
        checksum(workers(settings.agentTimeouts())),
        "objectives",
        checksum(objectives(settings.objectives())),
        "zones",
        checksum(settings.zones().toString()),
        "state limits",
        checksum(limits(settings.storeLimits())));
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

  private static String workers(Settings.AgentTimeouts workers) {
    return "Workers[report="
        + workers.heartbeatInterval()
        + ", lease="
        + workers.lease()
        + ", gangWait="
        + workers.gangStartTimeout()
        + ", gangPeer="
        + workers.gangPeerTimeout()
        + ", cancel="
        + workers.cancelTimeout()
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
        + objective.timeLimit()
        + ", times="
        + objective.deadlineFactor()
        + ", share="
        + objective.targetShare()
        + "]";
  }

  private static String limits(Settings.StoreLimits limits) {
    return "StateLimits[requestsPerS="
        + limits.requestsPerSecond()
        + ", writesPerS="
        + limits.writesPerSecond()
        + ", valueBytes="
        + limits.maxValueBytes()
        + ", txnChanges="
        + limits.maxMutationsPerTransaction()
        + "]";
  }

  private static String list(Collection<String> items) {
    return "[" + String.join(", ", items) + "]";
  }
}
