package org.quincecross.leader;

import java.util.Collection;
import java.util.List;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.StoreKeys;

/**
 * Writes the machine types that the cloud offers, those that are new or have changed together: a
 * controller that knows some of them would tell users of a job for another that it can never run
 * (docs/incidents/some-of-the-types.md).
 *
 * <p>What ends the wait for room for all: the budget for changes, which refills, or {@link
 * #PATIENCE}, where a transaction never has so much.
 */
final class MachineTypeWriter {
  private static final TimeSpan PATIENCE = TimeSpan.ofSeconds(3);

  private final ClusterStateCache cache;
  private MonotonicTime waitsSince;

  MachineTypeWriter(ClusterStateCache cache) {
    this.cache = cache;
  }

  /**
   * Adds to a transaction what is to be written; false where nothing should be written before there
   * is room for all of it.
   */
  boolean plan(TransactionBuilder transaction, Collection<MachineType> catalog, MonotonicTime now) {
    List<MachineType> news = catalog.stream().filter(this::isNews).toList();
    if (news.size() > transaction.room()) {
      waitsSince = waitsSince == null ? now : waitsSince;
      if (!now.since(waitsSince).isLongerThan(PATIENCE)) {
        return false;
      }
    } else {
      waitsSince = null;
    }
    news.forEach(
        type ->
            transaction.put(
                StoreKeys.machineType(type.name()), CloudCodec.writeCatalog(List.of(type))));
    return true;
  }

  private boolean isNews(MachineType type) {
    MachineType known = cache.machineTypes().get(type.name());
    return known == null
        || !known.capacity().equals(type.capacity())
        || !known.zones().equals(type.zones());
  }
}
