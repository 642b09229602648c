package org.quincecross.reservation;

import java.util.Map;

/**
 * A job of a lane and where its tasks are.
 *
 * @param acceptedMs the time of day when it was accepted, in milliseconds
 * @param zones how many of its tasks are in each zone
 */
public record Taken(String lane, long acceptedMs, Map<String, Integer> zones) {}
