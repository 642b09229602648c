package org.quincecross.model;

import java.util.List;

/** A type of machine that the cloud rents out. */
public record MachineType(
    String name,
    Resources capacity,
    double cacheGb,
    double pullGbPerSecond,
    double hourlyPrice,
    double hourlySpotPrice,
    TimeSpan bootTime,
    List<String> zones) {}
