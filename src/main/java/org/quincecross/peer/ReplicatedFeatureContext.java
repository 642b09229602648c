package org.quincecross.peer;

import java.util.Map;
import java.util.function.LongSupplier;
import org.quincecross.net.Timers;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.CombinedStartBlock;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ReplicatedRecordStore;

/**
 * What a part that rests on agreed records is given.
 *
 * @param store changes the records
 * @param known tells since when all controllers know of a change
 * @param withheld where the part says what it keeps back, and of which jobs that has changed
 * @param clockMs tells the time of day
 * @param parts the parts that are switched on, each with its settings
 */
public record ReplicatedFeatureContext(
    Timers timers,
    ClusterStateCache cache,
    ReplicatedRecordStore store,
    KnownRevisions known,
    CombinedStartBlock withheld,
    Settings settings,
    LongSupplier clockMs,
    Map<String, Object> parts) {
  /** Now, for a step of a controller's own or a view. */
  public CommandOrigin at() {
    return new CommandOrigin(clockMs.getAsLong(), settings.clockBound().millis(), "");
  }

  public boolean has(String part) {
    return parts.containsKey(part);
  }

  /** The settings of a part that is switched on. */
  public RecordFields settingsOf(String part) throws MalformedRecordException {
    return RecordFields.of(parts.get(part), part);
  }
}
