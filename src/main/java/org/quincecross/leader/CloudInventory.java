package org.quincecross.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.CloudCodec.CloudInstance;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;

/** What the cloud offers and has: machine types, listed instances, and those that are incoming. */
final class CloudInventory {
  private static final TimeSpan CATALOG_INTERVAL = TimeSpan.ofSeconds(60);
  private static final TimeSpan LIST_INTERVAL = TimeSpan.ofSeconds(4);
  private static final TimeSpan LIST_MARGIN = TimeSpan.ofSeconds(4);

  /** The boot time of a machine type that is not known yet. */
  private static final TimeSpan DEFAULT_BOOT_TIME = TimeSpan.ofSeconds(60);

  private final Timers timers;
  private final CloudClient cloud;
  private final ClusterStateCache cache;
  private final TimeSpan maxListAge;
  private final Predicate<MachineId> isTerminated;
  private final Map<String, MachineType> catalog = new TreeMap<>();
  private final Map<MachineId, CloudInstance> listed = new TreeMap<>();
  private final Map<MachineId, MonotonicTime> unlistedSince = new HashMap<>();
  private final Set<MachineId> unlisted = new HashSet<>();
  private final IncomingMachines incoming;
  private MonotonicTime catalogAfter;
  private MonotonicTime listAfter;
  private boolean listing;

  /**
   * Creates an empty inventory.
   *
   * @param listLag how long the cloud's list may lag behind
   * @param isTerminated whether a machine is known to be terminated
   */
  CloudInventory(
      Timers timers,
      CloudClient cloud,
      ClusterStateCache cache,
      TimeSpan listLag,
      Predicate<MachineId> isTerminated) {
    this.timers = timers;
    this.cloud = cloud;
    this.cache = cache;
    this.maxListAge = listLag.times(2).plus(LIST_MARGIN);
    this.isTerminated = isTerminated;
    this.incoming = new IncomingMachines(maxListAge, this::bootTime);
    this.catalogAfter = timers.now();
    this.listAfter = timers.now();
  }

  /** The machine types by name; empty before the first response of the cloud. */
  Map<String, MachineType> catalog() {
    return catalog;
  }

  /** The instances of the last complete list. */
  Collection<CloudInstance> listed() {
    return listed.values();
  }

  /** The machines of shards that the cloud no longer has. */
  Set<MachineId> unlisted() {
    return unlisted;
  }

  /** The machines that were launched and have not joined a shard yet. */
  IncomingMachines incoming() {
    return incoming;
  }

  /** The nominal boot time of a machine type. */
  TimeSpan bootTime(String type) {
    MachineType known = cache.machineTypes().getOrDefault(type, catalog.get(type));
    return known == null ? DEFAULT_BOOT_TIME : known.bootTime();
  }

  /** The number of machines that exist or will soon, as far as is known. */
  int expectedMachines() {
    return Math.max(listed.size(), cache.machineCount()) + incoming.expected().size();
  }

  /** Forgets observations of an earlier leadership. */
  void reset() {
    incoming.clear();
    listed.clear();
    unlistedSince.clear();
    unlisted.clear();
  }

  /** Requests the catalog and the list when they are due. */
  void refresh(MonotonicTime now) {
    refreshCatalog(now);
    refreshList(now);
    incoming.removeIf(this::hasJoinedOrIsTerminated);
  }

  private boolean hasJoinedOrIsTerminated(MachineId machine) {
    return cache.shardOf(machine) != null || isTerminated.test(machine);
  }

  private void refreshCatalog(MonotonicTime now) {
    if (now.isBefore(catalogAfter) || !cloud.tryAcquire()) {
      return;
    }
    catalogAfter = now.plus(cloud.backoff());
    cloud.catalog(this::catalogReceived);
  }

  private void catalogReceived(List<MachineType> types) {
    if (types != null) {
      catalogAfter = timers.now().plus(CATALOG_INTERVAL);
      types.forEach(type -> catalog.put(type.name(), type));
    }
  }

  private void refreshList(MonotonicTime now) {
    if (listing || now.isBefore(listAfter) || !cloud.tryAcquire()) {
      return;
    }
    listing = true;
    requestPage(null, new TreeMap<>(), now);
  }

  private void requestPage(
      MachineId after, Map<MachineId, CloudInstance> all, MonotonicTime requestedAt) {
    cloud.list(after, page -> pageReceived(page, after, all, requestedAt));
  }

  private void pageReceived(
      CloudCodec.Page page,
      MachineId after,
      Map<MachineId, CloudInstance> all,
      MonotonicTime requestedAt) {
    listAfter = timers.now().plus(LIST_INTERVAL);
    listing = false;
    if (page == null) {
      return;
    }
    MachineId last = after;
    for (CloudInstance instance : page.machines()) {
      last = instance.machine().id();
      all.put(last, instance);
    }
    if (page.more() && last != null) {
      listing = true;
      requestPage(last, all, requestedAt);
      return;
    }
    listed.clear();
    listed.putAll(all);
    updateUnlisted(requestedAt);
    all.values().stream()
        .filter(instance -> instance.status() == CloudCodec.Status.BOOTING)
        .filter(instance -> !hasJoinedOrIsTerminated(instance.machine().id()))
        .forEach(instance -> incoming.listedAsBooting(instance, timers.now()));
    incoming.removeLost(all, requestedAt);
  }

  /**
   * Finds machines of shards that the cloud no longer has. A machine stays listed until it is gone,
   * and a list is at most twice the lag old. So a machine that was known to exist and is in no list
   * requested that much later is gone.
   */
  private void updateUnlisted(MonotonicTime requestedAt) {
    unlisted.clear();
    unlistedSince
        .keySet()
        .removeIf(machine -> listed.containsKey(machine) || cache.shardOf(machine) == null);
    for (ShardLease shard : cache.shards().values()) {
      for (MachineId machine : shard.machines().keySet()) {
        if (!listed.containsKey(machine)
            && requestedAt
                .since(unlistedSince.computeIfAbsent(machine, id -> requestedAt))
                .isLongerThan(maxListAge)) {
          unlisted.add(machine);
        }
      }
    }
  }
}
