package org.quincecross.peer;

import java.util.Map;
import java.util.function.LongSupplier;
import org.quincecross.agreed.At;
import org.quincecross.agreed.Body;
import org.quincecross.agreed.Unreadable;
import org.quincecross.agreed.WithheldByAny;
import org.quincecross.net.Timers;
import org.quincecross.state.ReplicatedRecordStore;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.protocol.Settings;

/**
 * What a part that rests on agreed records is given.
 *
 * @param store changes the records
 * @param known tells since when all controllers know of a change
 * @param withheld where the part says what it keeps back, and of which jobs that has changed
 * @param clockMs tells the time of day
 * @param parts the parts that are switched on, each with its settings
 */
public record AgreedBase(
    Timers timers,
    ClusterStateCache ledger,
    ReplicatedRecordStore store,
    KnownRevisions known,
    WithheldByAny withheld,
    Settings settings,
    LongSupplier clockMs,
    Map<String, Object> parts) {
  /** Now, for a step of a controller's own or a view. */
  public At at() {
    return new At(clockMs.getAsLong(), settings.clockBound().millis(), "");
  }

  public boolean has(String part) {
    return parts.containsKey(part);
  }

  /** The settings of a part that is switched on. */
  public Body settingsOf(String part) throws Unreadable {
    return Body.of(parts.get(part), part);
  }
}
