package org.quincecross.state;

import org.quincecross.model.Incarnation;
import org.quincecross.model.MemberId;
import org.quincecross.model.Revision;
import org.quincecross.rollout.Build;

/**
 * A controller that is alive: the record goes with the lease that its life is named after.
 *
 * @param build what it can read and write
 */
public record MemberRecord(MemberId member, Incarnation life, String zone, Build build, Revision version) {
}
