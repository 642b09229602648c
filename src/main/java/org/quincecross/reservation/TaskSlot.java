package org.quincecross.reservation;

import java.util.Comparator;
import org.quincecross.model.Resources;

/** Capacity for one task; equal for all requests that need the same. */
public record TaskSlot(String jobClass, String team, Resources resources)
    implements Comparable<TaskSlot> {
  private static final Comparator<TaskSlot> ORDER =
      Comparator.comparing(TaskSlot::jobClass)
          .thenComparing(TaskSlot::team)
          .thenComparing(slot -> slot.resources().cpus())
          .thenComparing(slot -> slot.resources().gpus())
          .thenComparing(slot -> slot.resources().memoryGb());

  @Override
  public int compareTo(TaskSlot other) {
    return ORDER.compare(this, other);
  }
}
