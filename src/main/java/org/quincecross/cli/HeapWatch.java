package org.quincecross.cli;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.function.BooleanSupplier;

/**
 * Whether the heap is nearly full of what is in use. A controller that runs out of memory ends, and
 * so do the others, which hold the same records, and each again when it has read them anew: no new
 * job is worth that. Looked at closely, with classes that take some memory themselves, only where a
 * cheap look gives cause.
 */
final class HeapWatch implements BooleanSupplier {
  /** Of the heap, in use or not: below this there is nothing to look at. */
  private static final double LOOK_FROM = 0.7;

  /** Of what long-lived objects may take, in use after the last full collection. */
  private static final double SHORT_FROM = 0.85;

  private MemoryPoolMXBean longLived;

  @Override
  public boolean getAsBoolean() {
    Runtime runtime = Runtime.getRuntime();
    double used = (double) (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory();
    if (used < LOOK_FROM) {
      return false;
    }
    MemoryUsage afterCollection = longLived() == null ? null : longLived().getCollectionUsage();
    return afterCollection != null
        && afterCollection.getMax() > 0
        && afterCollection.getUsed() > SHORT_FROM * afterCollection.getMax();
  }

  /** The pool that objects which stay end in: of those that are collected, the largest. */
  private MemoryPoolMXBean longLived() {
    if (longLived == null) {
      for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
        if (pool.getType() == MemoryType.HEAP
            && pool.getCollectionUsage() != null
            && (longLived == null || pool.getUsage().getMax() > longLived.getUsage().getMax())) {
          longLived = pool;
        }
      }
    }
    return longLived;
  }
}
