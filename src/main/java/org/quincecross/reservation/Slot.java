package org.quincecross.reservation;

import java.util.Comparator;
import org.quincecross.model.Resources;

/** Room for one task, alike for all requests that ask for the same. */
public record Slot(String lane, String team, Resources each) implements Comparable<Slot> {
  private static final Comparator<Slot> ORDER =
      Comparator.comparing(Slot::lane)
          .thenComparing(Slot::team)
          .thenComparing(slot -> slot.each().cpus())
          .thenComparing(slot -> slot.each().gpus())
          .thenComparing(slot -> slot.each().memoryGb());

  @Override
  public int compareTo(Slot other) {
    return ORDER.compare(this, other);
  }
}
