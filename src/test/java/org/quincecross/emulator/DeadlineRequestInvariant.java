package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.reservation.DeadlineRequest;
import org.quincecross.reservation.RequestKind;

/**
 * Checks the request records in the state service: no request that was confirmed is lost, and no
 * reservation is lost or duplicated.
 */
final class DeadlineRequestInvariant {
  private static final String KEYS = "q/agreed/requests/";
  private static final double CHECK_INTERVAL_S = 0.05;
  private static final RequestKind KIND = new RequestKind(id -> "", 0);

  private final SimulatedCluster cluster;
  private final Map<String, Object> values = new HashMap<>();
  private final Map<String, DeadlineRequest> seen = new TreeMap<>();

  /**
   * The changes that operators were told are durable, by reference: the kind of the accepted
   * request, and the final state of closed ones.
   */
  private final Map<String, String> accepted = new HashMap<>();

  private final Map<String, DeadlineRequest.State> ended = new HashMap<>();
  private final Map<String, Integer> ends = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  DeadlineRequestInvariant(SimulatedCluster cluster) {
    this.cluster = cluster;
    checkAll();
  }

  List<String> violations() {
    return violations;
  }

  Map<String, DeadlineRequest> seen() {
    return seen;
  }

  DeadlineRequest request(String reference) {
    return seen.getOrDefault(reference, DeadlineRequest.NONE);
  }

  void accepted(String reference, String kind) {
    String before = accepted.put(reference, kind);
    if (before != null && !before.equals(kind)) {
      addViolation(reference, "was accepted with other figures");
    }
  }

  void ended(String reference, DeadlineRequest.State end) {
    if (!ended.merge(reference, end, (one, other) -> one).equals(end)) {
      addViolation(reference, "was ended in two ways");
    }
  }

  private void addViolation(String reference, String what) {
    violations.add("at " + cluster.time().seconds() + " " + reference + " " + what);
  }

  private void checkAll() {
    for (String key : cluster.state().keysWithPrefix(KEYS)) {
      Object value = cluster.state().value(key);
      if (key.startsWith(KEYS + "~") || values.put(key, value) == value) {
        continue;
      }
      try {
        DeadlineRequest now =
            KIND.read(RecordFields.of(value, "a record").object("state").all())
                .withReference(key.substring(KEYS.length()));
        check(seen.put(now.reference(), now), now);
      } catch (MalformedRecordException e) {
        addViolation(key, e.getMessage());
      }
    }
    accepted.forEach(
        (reference, kind) -> {
          if (!request(reference).kind().equals(kind)) {
            addViolation(reference, "was accepted and is lost");
          }
        });
    ended.forEach(
        (reference, end) -> {
          if (request(reference).state() != end) {
            addViolation(
                reference, "was told to be " + end + " and is " + request(reference).state());
          }
        });
    cluster.time().after(seen.size() > 1000 ? 1 : CHECK_INTERVAL_S, this::checkAll);
  }

  private void check(DeadlineRequest before, DeadlineRequest now) {
    int room = now.state() == DeadlineRequest.State.RESERVED ? now.need().tasks() : 0;
    if (now.reservedTasks() != room) {
      addViolation(now.reference(), "has room for " + now.reservedTasks() + " of " + room);
    }
    if (before != null && !before.state().isOpen() && !now.equals(before)) {
      addViolation(now.reference(), "was over and has changed");
    }
    if (before != null
        && before.state().isOpen()
        && !now.state().isOpen()
        && ends.merge(now.reference(), 1, Integer::sum) > 1) {
      addViolation(now.reference(), "was given back twice");
    }
  }
}
