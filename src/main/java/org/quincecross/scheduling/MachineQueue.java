package org.quincecross.scheduling;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;

/** A machine and its queue of waiting work. */
public final class MachineQueue {
  private final MachineId machine;
  private final Resources capacity;
  private final Predicate<String> hasImage;
  private final List<QueueEntry> queue = new ArrayList<>();
  private final List<QueueEntry> unmodifiable = Collections.unmodifiableList(queue);
  private Resources used = Resources.NONE;
  private Resources queued = Resources.NONE;
  private Map<String, Priority> imagesBeingPulled = Map.of();
  private Resources preemptible = Resources.NONE;
  private boolean open;

  MachineQueue(MachineId machine, Resources capacity, Predicate<String> hasImage) {
    this.machine = machine;
    this.capacity = capacity;
    this.hasImage = hasImage;
  }

  /** The machine. */
  public MachineId machine() {
    return machine;
  }

  /** The capacity of the machine. */
  public Resources capacity() {
    return capacity;
  }

  /** The resources in use. */
  public Resources used() {
    return used;
  }

  /** The free resources. */
  public Resources free() {
    return capacity.minus(used);
  }

  /** Whether the machine accepts tasks. */
  public boolean isOpen() {
    return open;
  }

  void open(boolean nowOpen) {
    open = nowOpen;
  }

  void imagesBeingPulled(Map<String, Priority> images) {
    imagesBeingPulled = images;
  }

  int isPulling() {
    return imagesBeingPulled.size();
  }

  /**
   * Whether work of a higher priority waits here for an image, whose pull another pull would slow
   * down.
   */
  boolean isPullingForHigherPriority(QueueEntry entry) {
    if (hasImage(entry)) {
      return false;
    }
    return imagesBeingPulled.entrySet().stream()
        .anyMatch(
            fetch ->
                !fetch.getKey().equals(entry.job().image())
                    && fetch.getValue().isHigherThan(entry.job().priority()));
  }

  void use(Resources now, Resources displaceableNow) {
    used = now;
    preemptible = displaceableNow;
  }

  /** Whether an urgent entry would fit after work that can be stopped within a moment. */
  boolean couldFit(QueueEntry entry) {
    return open
        && !entry.avoids(machine)
        && entry.job().taskResources().fitsIn(free().plus(preemptible));
  }

  void allocate(Resources more) {
    used = used.plus(more);
  }

  /** The waiting work in queue order. */
  public List<QueueEntry> waiting() {
    return unmodifiable;
  }

  void add(QueueEntry entry) {
    int at = Collections.binarySearch(queue, entry, QueueEntry.ORDER);
    queue.add(at < 0 ? -at - 1 : at, entry);
    countQueued();
  }

  void remove(QueueEntry entry) {
    queue.remove(entry);
    countQueued();
  }

  private void countQueued() {
    queued = Resources.NONE;
    for (QueueEntry entry : queue) {
      queued = queued.plus(entry.job().taskResources().times(entry.tasks().size()));
    }
  }

  /** The first entry that may start now, or null. */
  QueueEntry firstReady(MonotonicTime now) {
    for (QueueEntry entry : queue) {
      if (entry.isReady(now)) {
        return entry;
      }
    }
    return null;
  }

  boolean fitsEmptyMachine(QueueEntry entry) {
    return entry.job().taskResources().fitsIn(capacity);
  }

  boolean fitsNow(QueueEntry entry) {
    return open && entry.job().taskResources().fitsIn(free()) && !entry.avoids(machine);
  }

  /** Whether there is capacity for any work at all. */
  boolean mayFitAny() {
    Resources free = free();
    return free.cpus() > 0 && free.memoryGb() > 0;
  }

  boolean hasImage(QueueEntry entry) {
    return hasImage.test(entry.job().image());
  }

  double fit(QueueEntry entry) {
    return FitScore.product(capacity, used, entry.job().taskResources());
  }

  /**
   * The paper's normalized load (equations 4 and 5): the largest sum of any resource that the
   * waiting work needs.
   */
  double load() {
    return queued.dominantShareOf(capacity);
  }

  /** Counts that work was started past the entries ahead of it. */
  void countPassedBy(QueueEntry started, MonotonicTime now) {
    for (QueueEntry entry : queue) {
      if (entry == started) {
        return;
      }
      if (entry.isReady(now)) {
        entry.countPassed();
      }
    }
  }
}
