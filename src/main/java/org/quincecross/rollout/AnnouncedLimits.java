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
 * What a controller announces of the platform's file that has to be the same on all: while
 * controllers are replaced one after the other, some have the file of before.
 *
 * @param marks a short mark of each part of the file that has to be equal; equal parts have equal
 *     marks
 * @param limits of the teams, infinite where there is none
 */
public record AnnouncedLimits(Map<String, String> marks, Map<String, Resources> limits) {
  /** A build that announces nothing. */
  public static final AnnouncedLimits NONE = new AnnouncedLimits(Map.of(), Map.of());

  /** The same with one more part that has to be equal. */
  public AnnouncedLimits with(String part, String mark) {
    Map<String, String> more = new TreeMap<>(marks);
    more.put(part, mark);
    return new AnnouncedLimits(more, limits);
  }

  /**
   * The teams with the lowest of the limits that are announced: whoever leads, none is surpassed
   * that some controller was told. A team that another file does not name has the limit of this
   * one.
   */
  public static Map<String, Team> lowest(
      Map<String, Team> own, Iterable<AnnouncedLimits> announced) {
    Map<String, Team> teams = own;
    for (AnnouncedLimits announcedLimits : announced) {
      for (Team team : own.values()) {
        Resources limit = announcedLimits.limits().get(team.name());
        Resources before = teams.get(team.name()).limit();
        if (limit != null && !before.fitsIn(limit)) {
          teams = teams == own ? new LinkedHashMap<>(own) : teams;
          teams.put(
              team.name(),
              new Team(
                  team.name(),
                  team.guarantee(),
                  new Resources(
                      Math.min(limit.cpus(), before.cpus()),
                      Math.min(limit.gpus(), before.gpus()),
                      Math.min(limit.memoryGb(), before.memoryGb()))));
        }
      }
    }
    return teams;
  }

  /**
   * Who differs from a controller in what, in words; empty where nobody does. Who announces nothing
   * says nothing of that.
   */
  public static List<String> differences(
      ControllerId self, Map<ControllerId, AnnouncedLimits> announced) {
    Map<String, String> own = announced.getOrDefault(self, NONE).marks();
    List<String> differences = new ArrayList<>();
    new TreeMap<>(announced)
        .forEach(
            (member, announcedLimits) -> {
              List<String> parts = new ArrayList<>();
              new TreeMap<>(announcedLimits.marks())
                  .forEach(
                      (part, mark) -> {
                        if (own.containsKey(part) && !own.get(part).equals(mark)) {
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
