package org.quincecross.modelserving;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * The demand that all controllers have seen, as a leader has been told. What one that is away said
 * last counts until its lease is over; of one that is there and has said nothing yet nothing is
 * known, and so no model is idle.
 */
public final class DemandSum {
  /**
   * Clocks diverge by a thousandth at most: by no other one's clock is a model quiet for less than
   * is reckoned here.
   */
  private static final double BY_ANY_CLOCK = 0.998;

  /**
   * What a controller tells of a model: what is in flight there, and for how long nobody has wanted
   * it.
   */
  public record Told(int inFlight, TimeSpan quiet) {}

  private record Said(
      Incarnation incarnation, MonotonicTime at, Map<String, Told> models, TimeSpan since) {}

  private final Map<ControllerId, Said> said = new HashMap<>();

  /**
   * A controller has told all that it knows.
   *
   * @param since for how long it has been listening: of a model that it does not name, nobody
   *     wanted it for so long
   */
  public void told(
      ControllerId member,
      Incarnation incarnation,
      Map<String, Told> models,
      TimeSpan since,
      MonotonicTime now) {
    said.put(member, new Said(incarnation, now, Map.copyOf(models), since));
  }

  /** Keeps what those said whose leases are not over. */
  public void keepOnly(Set<ControllerId> members) {
    said.keySet().retainAll(members);
  }

  public void clear() {
    said.clear();
  }

  public int inFlight(String model) {
    int sum = 0;
    for (Said each : said.values()) {
      Told told = each.models.get(model);
      sum += told == null ? 0 : told.inFlight;
    }
    return sum;
  }

  /**
   * For how long nobody has wanted a model, as all members say; null while some of them has not
   * said anything.
   */
  public TimeSpan quiet(String model, Collection<ControllerId> members, MonotonicTime now) {
    TimeSpan least = null;
    for (ControllerId member : members) {
      Said each = said.get(member);
      if (each == null) {
        return null;
      }
      Told told = each.models.get(model);
      // What was in flight when it was last heard may be so still.
      TimeSpan since = now.since(each.at).times(BY_ANY_CLOCK);
      TimeSpan quiet =
          told == null
              ? each.since.plus(since)
              : told.inFlight > 0 ? TimeSpan.ZERO : told.quiet.plus(since);
      least = least == null || least.isLongerThan(quiet) ? quiet : least;
    }
    return least;
  }
}
