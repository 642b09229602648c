package org.quincecross.model;

/** What a machine is and where; it never changes. */
public record Machine(MachineId id, Endpoint address, String type, String zone, boolean spot) {}
