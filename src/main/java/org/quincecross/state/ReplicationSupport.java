package org.quincecross.state;

import java.util.TreeSet;
import org.quincecross.model.ControllerId;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.Feature;

/** Tells whether all controllers support replicated records. */
final class ReplicationSupport {
  private final ClusterStateCache cache;
  private final Settings settings;

  ReplicationSupport(ClusterStateCache cache, Settings settings) {
    this.cache = cache;
    this.settings = settings;
  }

  /**
   * Why replicated records cannot be changed now, naming the controllers that lack support; null if
   * they can.
   */
  String unavailableReason() {
    if (Feature.AGREED_RECORDS.isEnabledAt(cache.level().level())) {
      return null;
    }
    TreeSet<String> lacking = new TreeSet<>();
    TreeSet<ControllerId> all = new TreeSet<>(cache.members().keySet());
    settings.peers().forEach(peer -> all.add(peer.id()));
    all.add(settings.self());
    for (ControllerId member : all) {
      ControllerRecord record = cache.members().get(member);
      if (record == null) {
        lacking.add(member + ", which is away");
      } else if (!record.build().supports(Feature.AGREED_RECORDS.since())) {
        lacking.add(
            member
                + ", whose build ("
                + record.build().name()
                + ") ends at level "
                + record.build().maxLevel());
      }
    }
    return "level "
        + Feature.AGREED_RECORDS.since()
        + " is not in force yet; it waits for "
        + (lacking.isEmpty() ? "the leader to raise it" : String.join("; ", lacking));
  }
}
