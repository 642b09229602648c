package org.quincecross.model;

import java.util.BitSet;

/** A set of task numbers, written as ranges ({@code 0-15,17}): short for the runs that jobs are made of. */
public final class TaskSet {
    private final BitSet bits;

    public TaskSet() {
        this(new BitSet());
    }

    private TaskSet(BitSet bits) {
        this.bits = bits;
    }

    /** The set in {@code text}, or null when it is not one or names a task at or beyond {@code limit}. */
    public static TaskSet parse(String text, int limit) {
        BitSet bits = new BitSet();
        if (text.isEmpty()) {
            return new TaskSet(bits);
        }
        for (String run : text.split(",", -1)) {
            int dash = run.indexOf('-');
            int first = number(dash < 0 ? run : run.substring(0, dash));
            int last = dash < 0 ? first : number(run.substring(dash + 1));
            if (first < 0 || last < first || last >= limit) {
                return null;
            }
            bits.set(first, last + 1);
        }
        return new TaskSet(bits);
    }

    private static int number(String digits) {
        if (digits.isEmpty() || digits.length() > 9 || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Integer.parseInt(digits);
    }

    public TaskSet copy() {
        return new TaskSet((BitSet) bits.clone());
    }

    public boolean has(int index) {
        return bits.get(index);
    }

    public void add(int index) {
        bits.set(index);
    }

    public void addAll(TaskSet other) {
        bits.or(other.bits);
    }

    public void remove(int index) {
        bits.clear(index);
    }

    public int size() {
        return bits.cardinality();
    }

    public boolean isEmpty() {
        return bits.isEmpty();
    }

    /** The first member at or after {@code from}, or -1. */
    public int next(int from) {
        return bits.nextSetBit(from);
    }

    /** The most that the text of so many of a job's tasks can take. */
    public static int mostBytes(int jobTasks, int tasks) {
        return tasks * (1 + String.valueOf(jobTasks).length());
    }

    public void removeAll(TaskSet other) {
        bits.andNot(other.bits);
    }

    /** How many members this set has in common with another. */
    public int common(TaskSet other) {
        BitSet both = (BitSet) bits.clone();
        both.and(other.bits);
        return both.cardinality();
    }

    /** The numbers from 0 to below {@code end}. */
    public static TaskSet below(int end) {
        TaskSet all = new TaskSet();
        all.bits.set(0, end);
        return all;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TaskSet set && set.bits.equals(bits);
    }

    @Override
    public int hashCode() {
        return bits.hashCode();
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (int first = bits.nextSetBit(0); first >= 0; ) {
            int after = bits.nextClearBit(first);
            if (out.length() > 0) {
                out.append(',');
            }
            out.append(first);
            if (after - first > 1) {
                out.append('-').append(after - 1);
            }
            first = bits.nextSetBit(after);
        }
        return out.toString();
    }
}
