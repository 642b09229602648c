package org.quincecross.model;

import java.util.Arrays;

/**
 * A mutable set of task indexes, written as ranges ({@code 0-15,17}), which are short for the runs
 * that jobs consist of. Stored as a bit set, so that intersections, by far the most frequent
 * operation, allocate nothing.
 */
public final class TaskSet {
  /**
   * The longest text of a set in a stored record. Earlier builds refuse longer ones, and a
   * controller that cannot read a record takes no part.
   */
  public static final int MAX_STORED_TEXT_LENGTH = 4096;

  private static final int BITS = 64;
  private static final long[] NONE = new long[0];

  private long[] words;
  private int size;

  /** Creates an empty set. */
  public TaskSet() {
    this(NONE, 0);
  }

  private TaskSet(long[] words, int size) {
    this.words = words;
    this.size = size;
  }

  /** Parses ranges; null when the text is malformed or names a task at or beyond {@code limit}. */
  public static TaskSet parse(String text, int limit) {
    TaskSet set = new TaskSet();
    int at = 0;
    while (at < text.length()) {
      int end = text.indexOf(',', at);
      end = end < 0 ? text.length() : end;
      int dash = text.indexOf('-', at);
      int first = number(text, at, dash < 0 || dash > end ? end : dash);
      int last = dash < 0 || dash > end ? first : number(text, dash + 1, end);
      if (first < 0 || last < first || last >= limit || end == text.length() - 1) {
        return null;
      }
      set.addRange(first, last + 1);
      at = end + 1;
    }
    return set;
  }

  private static int number(String text, int from, int to) {
    if (from >= to || to - from > 9) {
      return -1;
    }
    int number = 0;
    for (int i = from; i < to; i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return -1;
      }
      number = number * 10 + (c - '0');
    }
    return number;
  }

  /** Returns an independent copy. */
  public TaskSet copy() {
    return new TaskSet(words.clone(), size);
  }

  /** Whether a task is a member. */
  public boolean contains(int index) {
    int word = index / BITS;
    return word < words.length && (words[word] >>> index & 1) != 0;
  }

  private void ensureCapacity(int word) {
    if (word >= words.length) {
      words = Arrays.copyOf(words, Math.max(word + 1, Math.min(2 * words.length, word + 16)));
    }
  }

  /** Adds a task. */
  public void add(int index) {
    ensureCapacity(index / BITS);
    long bit = 1L << index;
    if ((words[index / BITS] & bit) == 0) {
      words[index / BITS] |= bit;
      size++;
    }
  }

  private void addRange(int from, int to) {
    if (to > from) {
      ensureCapacity((to - 1) / BITS);
    }
    for (int word = from / BITS; word * BITS < to; word++) {
      long bits = -1L;
      bits = from > word * BITS ? bits << from : bits;
      bits = to < (word + 1) * BITS ? bits & (1L << to) - 1 : bits;
      size += Long.bitCount(bits & ~words[word]);
      words[word] |= bits;
    }
  }

  /** Adds all members of another set. */
  public void addAll(TaskSet other) {
    if (other.words.length > 0) {
      ensureCapacity(other.words.length - 1);
    }
    for (int i = 0; i < other.words.length; i++) {
      size += Long.bitCount(other.words[i] & ~words[i]);
      words[i] |= other.words[i];
    }
  }

  /** Removes a task. */
  public void remove(int index) {
    if (contains(index)) {
      words[index / BITS] &= ~(1L << index);
      size--;
    }
  }

  /** Returns a copy without one member. */
  public TaskSet without(int index) {
    TaskSet fewer = copy();
    fewer.remove(index);
    return fewer;
  }

  /**
   * Returns a copy in which the gaps between members are closed that consist of members of another
   * set alone. Its text is the shorter for each of them.
   */
  public TaskSet withGapsClosedBy(TaskSet others) {
    TaskSet closed = copy();
    int first = nextMember(0);
    while (first >= 0) {
      int gap = after(first);
      int next = nextMember(gap);
      if (next >= 0 && others.after(gap) >= next) {
        closed.addRange(gap, next);
      }
      first = next;
    }
    return closed;
  }

  /** Returns the members that are also in another set. */
  public TaskSet intersection(TaskSet other) {
    TaskSet common = copy();
    for (int i = 0; i < words.length; i++) {
      common.words[i] &= i < other.words.length ? other.words[i] : 0;
    }
    common.size = intersectionSize(other);
    return common;
  }

  /** The number of members. */
  public int size() {
    return size;
  }

  /** Whether there are no members. */
  public boolean isEmpty() {
    return size == 0;
  }

  /** The first member at or after {@code from}, or -1. */
  public int nextMember(int from) {
    for (int word = from / BITS; word < words.length; word++) {
      long bits = word == from / BITS ? words[word] & -1L << from : words[word];
      if (bits != 0) {
        return word * BITS + Long.numberOfTrailingZeros(bits);
      }
    }
    return -1;
  }

  /** The first index after {@code from} that is not a member. */
  private int after(int from) {
    for (int word = from / BITS; word < words.length; word++) {
      long bits = word == from / BITS ? ~words[word] & -1L << from : ~words[word];
      if (bits != 0) {
        return word * BITS + Long.numberOfTrailingZeros(bits);
      }
    }
    return words.length * BITS;
  }

  /** The maximum length of the text of a set of that many tasks of a job. */
  public static int maxTextLength(int jobTasks, int tasks) {
    return tasks * (1 + digits(jobTasks));
  }

  private static int digits(int number) {
    int digits = 1;
    for (int rest = number / 10; rest > 0; rest /= 10) {
      digits++;
    }
    return digits;
  }

  /** The length of the text of this set. */
  public int textLength() {
    int length = 0;
    for (int first = nextMember(0); first >= 0; ) {
      int after = after(first);
      length +=
          (length > 0 ? 1 : 0) + digits(first) + (after - first > 1 ? 1 + digits(after - 1) : 0);
      first = nextMember(after);
    }
    return length;
  }

  /** Removes all members of another set. */
  public void removeAll(TaskSet other) {
    for (int i = 0; i < Math.min(words.length, other.words.length); i++) {
      size -= Long.bitCount(words[i] & other.words[i]);
      words[i] &= ~other.words[i];
    }
  }

  /** The size of the intersection with another set. */
  public int intersectionSize(TaskSet other) {
    int common = 0;
    for (int i = 0; i < Math.min(words.length, other.words.length); i++) {
      common += Long.bitCount(words[i] & other.words[i]);
    }
    return common;
  }

  /** The indexes from 0 to below {@code end}. */
  public static TaskSet range(int end) {
    TaskSet all = new TaskSet();
    all.addRange(0, end);
    return all;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskSet set && set.size == size && set.intersectionSize(this) == size;
  }

  @Override
  public int hashCode() {
    int hash = 0;
    for (int i = 0; i < words.length; i++) {
      hash += Long.hashCode(words[i]) * (i + 1);
    }
    return hash;
  }

  @Override
  public String toString() {
    StringBuilder out = new StringBuilder();
    for (int first = nextMember(0); first >= 0; ) {
      if (out.length() > 0) {
        out.append(',');
      }
      int after = after(first);
      out.append(first);
      if (after - first > 1) {
        out.append('-').append(after - 1);
      }
      first = nextMember(after);
    }
    return out.toString();
  }
}
