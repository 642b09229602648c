package org.quincecross.scheduling;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A fair queue: owners take turns, and the items of each owner are served first come, first served,
 * so an owner that adds hundreds at once delays only itself.
 */
public final class RoundRobinQueue<K, T> {
  /** In the order of turns: the owner of the next item first. */
  private final Map<K, ArrayDeque<T>> queues = new LinkedHashMap<>();

  private int size;

  /** Adds an item behind the owner's others. */
  public void add(K owner, T item) {
    queues.computeIfAbsent(owner, key -> new ArrayDeque<>()).add(item);
    size++;
  }

  /** The next item, or null. */
  public T peek() {
    return queues.isEmpty() ? null : queues.values().iterator().next().peek();
  }

  /**
   * Removes the next item; its owner's next turn comes after those of all others. Null if the queue
   * is empty.
   */
  public T poll() {
    if (queues.isEmpty()) {
      return null;
    }
    Map.Entry<K, ArrayDeque<T>> first = queues.entrySet().iterator().next();
    K owner = first.getKey();
    ArrayDeque<T> queue = queues.remove(owner);
    T item = queue.poll();
    size--;
    if (!queue.isEmpty()) {
      queues.put(owner, queue);
    }
    return item;
  }

  /** Removes the items that {@code condition} selects, and passes them to {@code removed}. */
  public void removeIf(Predicate<T> condition, Consumer<T> removed) {
    queues
        .values()
        .forEach(
            queue ->
                queue.removeIf(
                    item -> {
                      if (!condition.test(item)) {
                        return false;
                      }
                      size--;
                      removed.accept(item);
                      return true;
                    }));
    queues.values().removeIf(ArrayDeque::isEmpty);
  }

  /**
   * The number of items that would be served before one that an owner adds now, if no more were
   * added.
   */
  public int itemsAhead(K owner) {
    ArrayDeque<T> queue = queues.get(owner);
    int turn = queue == null ? 1 : queue.size() + 1;
    int ahead = turn - 1;
    for (Map.Entry<K, ArrayDeque<T>> other : queues.entrySet()) {
      ahead += other.getKey().equals(owner) ? 0 : Math.min(other.getValue().size(), turn);
    }
    return ahead;
  }

  /** The number of an owner's items. */
  public int size(K owner) {
    ArrayDeque<T> queue = queues.get(owner);
    return queue == null ? 0 : queue.size();
  }

  /** Whether no item waits. */
  public boolean isEmpty() {
    return size == 0;
  }

  /** The number of all items. */
  public int size() {
    return size;
  }
}
