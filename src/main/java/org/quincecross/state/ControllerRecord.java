package org.quincecross.state;

import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Revision;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;

/**
 * A controller that is alive: the record goes with the lease that its life is named after.
 *
 * @param build what it can read and write
 * @param terms what it has been told that has to be the same on all
 */
public record ControllerRecord(
    ControllerId member,
    Incarnation life,
    String zone,
    Build build,
    AnnouncedLimits terms,
    Revision version) {}
