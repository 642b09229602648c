package org.quincecross.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;

/**
 * The parts of the platform file that a controller announces because they must be equal on all
 * controllers. While controllers are replaced one after the other, some still have the previous
 * file.
 *
 * @param checksums a short checksum of each part that has to be equal; equal parts have equal
 *     checksums
 * @param limits limits of the teams, infinite where there is none
 */
public record AnnouncedLimits(Map<String, String> checksums, Map<String, Resources> limits) {
  /** What a build without announcements has. */
  public static final AnnouncedLimits NONE = new AnnouncedLimits(Map.of(), Map.of());

  /** Returns a copy with another part that has to be equal. */
  public AnnouncedLimits withPart(String part, String checksum) {
    Map<String, String> more = new TreeMap<>(checksums);
    more.put(part, checksum);
    return new AnnouncedLimits(more, limits);
  }

  /**
   * Returns the teams with the lowest of the announced limits, so that whichever controller leads,
   * no limit that any controller knows is exceeded. A team that another file does not name keeps
   * the limit of this one.
   */
  public static Map<String, Team> lowest(
      Map<String, Team> ownTeams, Iterable<AnnouncedLimits> announced) {
    Map<String, Team> teams = ownTeams;
    for (AnnouncedLimits announcedLimits : announced) {
      for (Team team : ownTeams.values()) {
        Resources limit = announcedLimits.limits().get(team.name());
        Resources lowestSoFar = teams.get(team.name()).limit();
        if (limit != null && !lowestSoFar.fitsIn(limit)) {
          teams = teams == ownTeams ? new LinkedHashMap<>(ownTeams) : teams;
          teams.put(
              team.name(),
              new Team(
                  team.name(),
                  team.guarantee(),
                  new Resources(
                      Math.min(limit.cpus(), lowestSoFar.cpus()),
                      Math.min(limit.gpus(), lowestSoFar.gpus()),
                      Math.min(limit.memoryGb(), lowestSoFar.memoryGb()))));
        }
      }
    }
    return teams;
  }

  /**
   * Describes which controllers differ from this one in which parts; empty if none does.
   * Controllers without announcements are skipped.
   */
  public static List<String> differences(
      ControllerId self, Map<ControllerId, AnnouncedLimits> announced) {
    Map<String, String> ownChecksums = announced.getOrDefault(self, NONE).checksums();
    List<String> differences = new ArrayList<>();
    new TreeMap<>(announced)
        .forEach(
            (member, announcedLimits) -> {
              List<String> parts = new ArrayList<>();
              new TreeMap<>(announcedLimits.checksums())
                  .forEach(
                      (part, checksum) -> {
                        if (ownChecksums.containsKey(part)
                            && !ownChecksums.get(part).equals(checksum)) {
                          parts.add(part);
                        }
                      });
              if (!parts.isEmpty()) {
                differences.add(member + " has other " + String.join(", ", parts));
              }
            });
    return differences;
  }
}
