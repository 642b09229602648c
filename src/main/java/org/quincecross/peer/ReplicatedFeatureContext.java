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
 * What a feature based on replicated records is given.
 *
 * @param store changes the records
 * @param known tells since when all controllers know of a change
 * @param startBlock where the feature blocks tasks and announces changes of that
 * @param clockMs the time of day in milliseconds
 * @param parts the features that are switched on, each with its settings
 */
public record ReplicatedFeatureContext(
    Timers timers,
    ClusterStateCache cache,
    ReplicatedRecordStore store,
    KnownRevisions known,
    CombinedStartBlock startBlock,
    Settings settings,
    LongSupplier clockMs,
    Map<String, Object> parts) {
  /** The present time, for a controller's own command or a query. */
  public CommandOrigin at() {
    return new CommandOrigin(clockMs.getAsLong(), settings.clockBound().millis(), "");
  }

  /** Whether a feature is switched on. */
  public boolean has(String part) {
    return parts.containsKey(part);
  }

  /** The settings of a feature that is switched on. */
  public RecordFields settingsOf(String part) throws MalformedRecordException {
    return RecordFields.of(parts.get(part), part);
  }
}
