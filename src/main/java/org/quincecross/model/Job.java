package org.quincecross.model;

import java.util.Set;

/**
 * What a user submitted.
 *
 * @param types the allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param deadline from submission, or null
 */
public record Job(
        JobId id, String jobClass, String team, Shape shape, Rank rank, int tasks, Resources each,
        Set<String> types, String zone, boolean oneZone, boolean spread, boolean spot,
        String image, double imageGb, Span estimate, Span checkpointEvery, Span saveTime, Span deadline) {

    public boolean saves() {
        return checkpointEvery.nanos() > 0;
    }

    /** Whether a machine of this type, zone and kind may run the job, its other tasks aside. */
    public boolean allows(String type, String machineZone, boolean machineSpot) {
        return (types == null || types.contains(type)) && (zone == null || zone.equals(machineZone))
                && (spot || !machineSpot);
    }

    /** The most tasks that may be in one zone. */
    public int mostInOneZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }
}
