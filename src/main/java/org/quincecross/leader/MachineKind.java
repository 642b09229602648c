package org.quincecross.leader;

/** A machine type in a zone, on demand or spot. */
record MachineKind(String type, String zone, boolean spot) {}
