package org.quincecross.state;

import org.quincecross.model.Incarnation;
import org.quincecross.model.MemberId;
import org.quincecross.model.Revision;

/** A controller that is alive: the record goes with the lease that its life is named after. */
public record MemberRecord(MemberId member, Incarnation life, String zone, Revision version) {
}
