package org.quincecross.model;

/** A machine, by the name the cloud gave it. */
public record MachineId(String text) implements Comparable<MachineId> {
    @Override
    public int compareTo(MachineId other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
