package org.quincecross.leader;

import org.quincecross.net.Timers;
import org.quincecross.protocol.Settings;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;

/**
 * What the parts of a leader share.
 *
 * @param cache this controller's copy of the records
 * @param currentViews what the controllers have reported recently
 * @param allocationIndex the allocations of {@code cache}, indexed for admission
 */
record LeaderContext(
    Timers timers,
    ClusterStateCache cache,
    Settings settings,
    CurrentPeerViews currentViews,
    AllocationIndex allocationIndex,
    DemandForecast forecast) {}
