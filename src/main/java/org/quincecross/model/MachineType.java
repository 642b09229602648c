package org.quincecross.model;

import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param cacheGb the size of the image cache
 * @param pullGbPerSecond the rate at which a machine pulls images
 * @param bootTime from launch until the agent reports
 */
public record MachineType(
    String name,
    Resources capacity,
    double cacheGb,
    double pullGbPerSecond,
    double hourlyPrice,
    double hourlySpotPrice,
    TimeSpan bootTime,
    List<String> zones) {}
