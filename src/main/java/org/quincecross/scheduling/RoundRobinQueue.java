package org.quincecross.scheduling;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A queue in which owners take turns, each with its own items first come, first served: whoever
 * brings hundreds at once waits for them itself, and does not have others wait.
 */
public final class RoundRobinQueue<K, T> {
  /** In the order of turns: the owner of the next item first. */
  private final Map<K, ArrayDeque<T>> queues = new LinkedHashMap<>();

  private int size;

  public void add(K owner, T item) {
    queues.computeIfAbsent(owner, key -> new ArrayDeque<>()).add(item);
    size++;
  }

  /** The next item, or null. */
  public T peek() {
    return queues.isEmpty() ? null : queues.values().iterator().next().peek();
  }

  /**
   * Takes the next item; its owner's next turn comes after those of all others. Null where nothing
   * waits.
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

  /** Takes out what {@code over} says, and hands it to {@code taken}. */
  public void takeIf(Predicate<T> over, Consumer<T> taken) {
    queues
        .values()
        .forEach(
            queue ->
                queue.removeIf(
                    item -> {
                      if (!over.test(item)) {
                        return false;
                      }
                      size--;
                      taken.accept(item);
                      return true;
                    }));
    queues.values().removeIf(ArrayDeque::isEmpty);
  }

  /** How many items would go before one that an owner adds now, if no more came. */
  public int itemsAhead(K owner) {
    ArrayDeque<T> own = queues.get(owner);
    int turn = own == null ? 1 : own.size() + 1;
    int ahead = turn - 1;
    for (Map.Entry<K, ArrayDeque<T>> other : queues.entrySet()) {
      ahead += other.getKey().equals(owner) ? 0 : Math.min(other.getValue().size(), turn);
    }
    return ahead;
  }

  /** How many items of an owner wait. */
  public int size(K owner) {
    ArrayDeque<T> own = queues.get(owner);
    return own == null ? 0 : own.size();
  }

  public boolean isEmpty() {
    return size == 0;
  }

  public int size() {
    return size;
  }
}
