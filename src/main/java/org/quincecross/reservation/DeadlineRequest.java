package org.quincecross.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.Resources;

/**
 * A request from outside that has to be answered by a due time, and the capacity reserved for it
 * until then. Times are times of day in milliseconds.
 *
 * @param reference the identifier used by the requester
 * @param kind who asks: police, carrier, or another kind that operators distinguish
 * @param arrivedMs when it arrived, as stated by operators
 * @param dueMs when its answer is due
 * @param recordedMs when it was recorded here; jobs of its class accepted from then on are
 *     attributed to it
 * @param zones number of reserved tasks by zone; empty unless reserved
 * @param lostReason why a former reservation was lost; empty otherwise
 * @param closedMs when it was answered or withdrawn; 0 before
 * @param closedClockBoundMs maximum error of the clock that {@code closedMs} was read from, in
 *     milliseconds
 */
public record DeadlineRequest(
    String reference,
    String kind,
    long arrivedMs,
    long dueMs,
    CapacityNeed need,
    long recordedMs,
    State state,
    Map<String, Integer> zones,
    String lostReason,
    long closedMs,
    long closedClockBoundMs) {
  /** The states of a request. */
  public enum State {
    /** Not recorded. */
    NONE,
    /** Recorded, without reserved capacity. */
    ARRIVED,
    /** Capacity is reserved. */
    RESERVED,
    /** Answered. Final. */
    ANSWERED,
    /** No longer wanted. Final. */
    WITHDRAWN;

    public boolean isOpen() {
      return this == ARRIVED || this == RESERVED;
    }
  }

  /**
   * How a request stands to its due time. Warnings are early and lateness is reported only when
   * certain, so that clock errors never make a request late.
   */
  public enum DueStatus {
    /** Not due soon. */
    AHEAD,
    /** Due within the warning time, or possibly so within the clock error. */
    SOON,
    /** The clock error does not allow to tell whether the due time has passed. */
    UNCERTAIN,
    /** The due time has passed, even with the largest clock error. */
    LATE
  }

  /** The state before a request is recorded. */
  public static final DeadlineRequest NONE =
      new DeadlineRequest(
          "",
          "",
          0,
          0,
          new CapacityNeed("", "", 0, Resources.NONE, Set.of()),
          0,
          State.NONE,
          Map.of(),
          "",
          0,
          0);

  public DeadlineRequest {
    zones = new TreeMap<>(zones);
  }

  /** Returns a copy with the name of its record as reference. */
  public DeadlineRequest withReference(String name) {
    return new DeadlineRequest(
        name,
        kind,
        arrivedMs,
        dueMs,
        need,
        recordedMs,
        state,
        zones,
        lostReason,
        closedMs,
        closedClockBoundMs);
  }

  /**
   * Returns how it stands to its due time; {@code boundMs} is the maximum clock error in either
   * direction. All in milliseconds.
   */
  public DueStatus dueStatus(long nowMs, long boundMs, long warnMs) {
    if (nowMs - boundMs > dueMs) {
      return DueStatus.LATE;
    }
    if (nowMs + boundMs > dueMs) {
      return DueStatus.UNCERTAIN;
    }
    return nowMs + boundMs + warnMs >= dueMs ? DueStatus.SOON : DueStatus.AHEAD;
  }

  /** Whether its answer was certainly late. */
  public boolean wasLate() {
    return state == State.ANSWERED && closedMs - closedClockBoundMs > dueMs;
  }

  /** Returns how many tasks have reserved capacity. */
  public int reservedTasks() {
    return zones.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the fields in which another request of the same reference differs. */
  List<String> differences(DeadlineRequest other) {
    List<String> differences = new ArrayList<>();
    CapacityNeed.addDifference(differences, "kind", kind, other.kind);
    CapacityNeed.addDifference(differences, "arrived_ms", arrivedMs, other.arrivedMs);
    CapacityNeed.addDifference(differences, "due_ms", dueMs, other.dueMs);
    differences.addAll(need.differences(other.need));
    return differences;
  }

  /** Returns the request after a change of its reservation. */
  public DeadlineRequest apply(ReservationPlanner.ReservationChange move) {
    return move.zones().isEmpty()
        ? withLostReservation(move.lostReason())
        : reservedTasks(move.zones());
  }

  DeadlineRequest reservedTasks(Map<String, Integer> tasksByZone) {
    return new DeadlineRequest(
        reference, kind, arrivedMs, dueMs, need, recordedMs, State.RESERVED, tasksByZone, "", 0, 0);
  }

  DeadlineRequest withLostReservation(String reason) {
    return new DeadlineRequest(
        reference, kind, arrivedMs, dueMs, need, recordedMs, State.ARRIVED, Map.of(), reason, 0, 0);
  }

  /**
   * Returns the closed request. The reservation exists in this record only, so it cannot be
   * released twice.
   */
  DeadlineRequest close(State finalState, long atMs, long boundMs) {
    return new DeadlineRequest(
        reference,
        kind,
        arrivedMs,
        dueMs,
        need,
        recordedMs,
        finalState,
        Map.of(),
        "",
        atMs,
        boundMs);
  }
}
