package org.quincecross.reservation;

import java.util.Map;

/**
 * A job of a class that requests name, and where its tasks are.
 *
 * @param acceptedMs time of day when it was accepted, in milliseconds
 * @param zones number of its tasks by zone
 */
public record RunningJob(String jobClass, long acceptedMs, Map<String, Integer> zones) {}
