package org.quincecross.cli;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.function.BooleanSupplier;

/**
 * Checks whether the heap is nearly full of live objects. A controller that runs out of memory
 * ends, and so do the others, which hold the same records, and each of them again after reading the
 * records on restart; so new jobs are rejected before that. The exact check loads classes that take
 * memory themselves, so it runs only if a cheap check indicates a need.
 */
final class HeapUsageMonitor implements BooleanSupplier {
  /** Share of the heap in use, including garbage, below which the exact check is skipped. */
  private static final double EXACT_CHECK_FROM = 0.7;

  /**
   * Share of the old generation in use after the last full collection from which memory counts as
   * short.
   */
  private static final double SHORT_FROM = 0.85;

  private MemoryPoolMXBean oldGeneration;

  @Override
  public boolean getAsBoolean() {
    Runtime runtime = Runtime.getRuntime();
    double used = (double) (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory();
    if (used < EXACT_CHECK_FROM) {
      return false;
    }
    MemoryUsage afterCollection =
        oldGeneration() == null ? null : oldGeneration().getCollectionUsage();
    return afterCollection != null
        && afterCollection.getMax() > 0
        && afterCollection.getUsed() > SHORT_FROM * afterCollection.getMax();
  }

  /** Returns the pool of the old generation: the largest pool that is collected. */
  private MemoryPoolMXBean oldGeneration() {
    if (oldGeneration == null) {
      for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
        if (pool.getType() == MemoryType.HEAP
            && pool.getCollectionUsage() != null
            && (oldGeneration == null
                || pool.getUsage().getMax() > oldGeneration.getUsage().getMax())) {
          oldGeneration = pool;
        }
      }
    }
    return oldGeneration;
  }
}
