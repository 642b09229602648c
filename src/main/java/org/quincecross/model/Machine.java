package org.quincecross.model;

/** The immutable description of a machine. */
public record Machine(MachineId id, Endpoint address, String type, String zone, boolean spot) {}
