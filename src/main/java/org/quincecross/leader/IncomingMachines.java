package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.CloudCodec.CloudInstance;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines that were launched and have not joined a shard yet. Waiting work counts on them, so
 * each is expected only as long as there is reason to: it ends with the machine's loss, as the
 * cloud's lists show it, or with the time that a boot may take. Guards against
 * docs/incidents/machine-that-never-came.md.
 */
final class IncomingMachines {
  private static final Logger LOG = LoggerFactory.getLogger(IncomingMachines.class);

  /** A boot takes up to one and a half times its nominal time, apart from outliers. */
  private static final double MAX_BOOT_FACTOR = 2;

  private enum State {
    BOOTING,
    /** It has taken longer than a boot may. */
    OVERDUE,
    /** Its agent has reported, so it joins a shard next. */
    REPORTED
  }

  /**
   * A machine on its way.
   *
   * @param since the machine existed at this time
   */
  private record Incoming(MachineKind kind, MonotonicTime since, State state) {}

  private final TimeSpan maxListAge;
  private final Function<String, TimeSpan> bootTime;
  private final Map<MachineId, Incoming> machines = new LinkedHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param maxListAge how much older than its request a list may be
   * @param bootTime the nominal boot time of a machine type
   */
  IncomingMachines(TimeSpan maxListAge, Function<String, TimeSpan> bootTime) {
    this.maxListAge = maxListAge;
    this.bootTime = bootTime;
  }

  void launched(Collection<MachineId> ids, MachineKind kind, MonotonicTime now) {
    ids.forEach(id -> machines.putIfAbsent(id, new Incoming(kind, now, State.BOOTING)));
  }

  /** Called when the agent of a machine that is in no shard has reported. */
  void reported(MachineId id, MachineKind kind, MonotonicTime now) {
    machines.merge(
        id,
        new Incoming(kind, now, State.REPORTED),
        (known, fresh) -> new Incoming(kind, known.since(), State.REPORTED));
  }

  /** Adds an instance that a list shows as booting. */
  void listedAsBooting(CloudInstance instance, MonotonicTime now) {
    MonotonicTime launchedAt = new MonotonicTime(now.nanos() - instance.age().nanos());
    machines.computeIfAbsent(
        instance.machine().id(),
        id -> new Incoming(MachineKind.of(instance.machine()), launchedAt, State.BOOTING));
  }

  /**
   * Removes the machines that a list shows to be gone or failed. A machine stays listed until it is
   * gone, so one that existed when the list was made and is not in it is gone.
   */
  void removeLost(Map<MachineId, CloudInstance> list, MonotonicTime requestedAt) {
    Iterator<Map.Entry<MachineId, Incoming>> entries = machines.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<MachineId, Incoming> entry = entries.next();
      CloudInstance instance = list.get(entry.getKey());
      boolean isLost =
          instance == null
              ? requestedAt.since(entry.getValue().since()).isLongerThan(maxListAge)
              : instance.status() == CloudCodec.Status.FAILED;
      if (isLost) {
        LOG.info(
            "machine {} never joined: {}",
            entry.getKey(),
            instance == null ? "the cloud lists it no longer" : "it has failed");
        entries.remove();
      }
    }
  }

  /** Removes machines that have joined or were terminated. */
  void removeIf(Predicate<MachineId> isSettled) {
    machines.keySet().removeIf(isSettled);
  }

  void clear() {
    machines.clear();
  }

  /** Marks the machines that have become overdue since the last call; returns their kinds. */
  List<MachineKind> markOverdue(MonotonicTime now) {
    List<MachineKind> overdue = new ArrayList<>();
    machines.replaceAll(
        (id, machine) -> {
          TimeSpan longest = bootTime.apply(machine.kind().type()).times(MAX_BOOT_FACTOR);
          if (machine.state() != State.BOOTING
              || !now.since(machine.since()).isLongerThan(longest)) {
            return machine;
          }
          LOG.info("machine {} has not reported for {}: it is not expected any more", id, longest);
          overdue.add(machine.kind());
          return new Incoming(machine.kind(), machine.since(), State.OVERDUE);
        });
    return overdue;
  }

  /** The kinds of the machines that waiting work may count on. */
  List<MachineKind> expected() {
    return machines.values().stream()
        .filter(machine -> machine.state() != State.OVERDUE)
        .map(Incoming::kind)
        .toList();
  }

  @Override
  public String toString() {
    return machines.toString();
  }
}
