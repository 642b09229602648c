package org.quincecross.leader;

/** A kind of machine in a place. */
record MachineKind(String type, String zone, boolean spot) {}
