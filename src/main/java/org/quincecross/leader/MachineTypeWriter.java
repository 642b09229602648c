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
 * Stores the machine types that the cloud offers; new and changed types are written together,
 * because a controller that knows only some of them would reject jobs that need another
 * (docs/incidents/some-of-the-types.md).
 *
 * <p>The wait for room for all of them ends when the write budget refills, or after {@link
 * #PATIENCE} if a transaction never has that much room.
 */
final class MachineTypeWriter {
  private static final TimeSpan PATIENCE = TimeSpan.ofSeconds(3);

  private final ClusterStateCache cache;
  private MonotonicTime waitingSince;

  MachineTypeWriter(ClusterStateCache cache) {
    this.cache = cache;
  }

  /**
   * Adds the types to a transaction; false if nothing may be written until there is room for all of
   * them.
   */
  boolean plan(TransactionBuilder transaction, Collection<MachineType> catalog, MonotonicTime now) {
    List<MachineType> changedTypes = catalog.stream().filter(this::isNewOrChanged).toList();
    if (changedTypes.size() > transaction.remaining()) {
      waitingSince = waitingSince == null ? now : waitingSince;
      if (!now.since(waitingSince).isLongerThan(PATIENCE)) {
        return false;
      }
    } else {
      waitingSince = null;
    }
    changedTypes.forEach(
        type ->
            transaction.put(
                StoreKeys.machineType(type.name()), CloudCodec.writeCatalog(List.of(type))));
    return true;
  }

  private boolean isNewOrChanged(MachineType type) {
    MachineType known = cache.machineTypes().get(type.name());
    return known == null
        || !known.capacity().equals(type.capacity())
        || !known.zones().equals(type.zones());
  }
}
