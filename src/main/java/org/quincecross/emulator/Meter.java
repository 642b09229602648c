package org.quincecross.emulator;

import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.net.InstrumentedTimers;

/**
 * Measures what controllers cost, by kind of call: number of calls, processor time and bytes
 * allocated. A simulated deployment runs on one thread, so both counters are read before and after
 * each call into a controller.
 */
final class Meter {
  /** The cost of one kind of call. */
  static final class Cost {
    private long calls;
    private long nanos;
    private long bytes;
    private long longestNanos;

    long calls() {
      return calls;
    }

    long nanos() {
      return nanos;
    }

    long bytes() {
      return bytes;
    }

    /** The longest single call, in nanoseconds. */
    long longestNanos() {
      return longestNanos;
    }
  }

  /** Reads no counters: for days without measurement. */
  static final Meter OFF = new Meter(false);

  private final boolean enabled;
  private final Map<String, Cost> costs = new TreeMap<>();
  private final com.sun.management.ThreadMXBean threads =
      (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
  private boolean running;

  Meter(boolean on) {
    this.enabled = on;
  }

  /**
   * Runs an action that a controller scheduled; its kind is named after the class that scheduled
   * it.
   */
  void run(Runnable action) {
    if (!enabled) {
      action.run();
      return;
    }
    Runnable named =
        action instanceof InstrumentedTimers.InstrumentedAction step ? step.action() : action;
    String name = named.getClass().getName();
    int lambda = name.indexOf("$$");
    String owner = lambda < 0 ? name : name.substring(0, lambda);
    run("timer " + owner.substring(owner.lastIndexOf('.') + 1), action);
  }

  /** Runs a call into a controller and records its cost; nested calls count for the outer one. */
  void run(String kind, Runnable action) {
    if (!enabled || running) {
      action.run();
      return;
    }
    running = true;
    long bytes = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    long began = System.nanoTime();
    try {
      action.run();
    } finally {
      long took = System.nanoTime() - began;
      Cost cost = costs.computeIfAbsent(kind, k -> new Cost());
      cost.calls++;
      cost.nanos += took;
      cost.longestNanos = Math.max(cost.longestNanos, took);
      cost.bytes += threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - bytes;
      running = false;
    }
  }

  Map<String, Cost> costs() {
    return costs;
  }
}
