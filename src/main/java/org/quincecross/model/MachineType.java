package org.quincecross.model;

import java.util.List;

/** A type of machine that the cloud rents out. */
public record MachineType(
    String name,
    Resources capacity,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    Span boot,
    List<String> zones) {}
