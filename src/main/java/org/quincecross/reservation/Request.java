package org.quincecross.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.Resources;

/**
 * A request that somebody outside is owed an answer to, and the room that is kept until it is
 * delivered. Times are of the day, in milliseconds.
 *
 * @param reference by which those who ask know it
 * @param kind who asks: police, carrier, or whatever the operators tell apart
 * @param arrivedMs when it arrived, as the operators say
 * @param dueMs when its answer is due
 * @param recordedMs when it was recorded here: jobs of the lane accepted from then on are taken to
 *     be for it
 * @param zones how many tasks have room reserved in each zone; none unless it is reserved
 * @param without why it has no room, where it once had some; empty otherwise
 * @param overMs when its answer was delivered or it was withdrawn; 0 before
 * @param overBoundMs how wrong the clock by which it was over may have been, in milliseconds
 */
public record Request(
    String reference,
    String kind,
    long arrivedMs,
    long dueMs,
    Need need,
    long recordedMs,
    State state,
    Map<String, Integer> zones,
    String without,
    long overMs,
    long overBoundMs) {
  /** Where a request stands. */
  public enum State {
    /** Not known. */
    NONE,
    /** Known, and without room. */
    ARRIVED,
    /** Room is kept for it. */
    RESERVED,
    /** Its answer has been delivered: the end. */
    ANSWERED,
    /** Nobody wants an answer any more: the end. */
    WITHDRAWN;

    public boolean isOpen() {
      return this == ARRIVED || this == RESERVED;
    }
  }

  /**
   * How a request stands to its due time. Early to warn, slow to blame: a clock that is wrong makes
   * nothing late.
   */
  public enum Due {
    /** There is time. */
    AHEAD,
    /** It is, or may be by the clocks' bound, less than the warning time away. */
    SOON,
    /** The clocks cannot tell whether it has passed. */
    UNCERTAIN,
    /** It has passed, however wrong the clock is within its bound. */
    LATE
  }

  /** What there is before a request is known. */
  public static final Request NONE =
      new Request(
          "",
          "",
          0,
          0,
          new Need("", "", 0, Resources.NONE, Set.of()),
          0,
          State.NONE,
          Map.of(),
          "",
          0,
          0);

  public Request {
    zones = new TreeMap<>(zones);
  }

  /** The same under the name of its record. */
  public Request named(String name) {
    return new Request(
        name, kind, arrivedMs, dueMs, need, recordedMs, state, zones, without, overMs, overBoundMs);
  }

  /**
   * How it stands at a time of a clock that may be wrong by a bound either way; all in
   * milliseconds.
   */
  public Due due(long nowMs, long boundMs, long warnMs) {
    if (nowMs - boundMs > dueMs) {
      return Due.LATE;
    }
    if (nowMs + boundMs > dueMs) {
      return Due.UNCERTAIN;
    }
    return nowMs + boundMs + warnMs >= dueMs ? Due.SOON : Due.AHEAD;
  }

  /** Whether its answer was late for certain. */
  public boolean wasLate() {
    return state == State.ANSWERED && overMs - overBoundMs > dueMs;
  }

  /** How many tasks have room reserved. */
  public int reserved() {
    return zones.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** In which figures it differs from another of the same reference. */
  List<String> differences(Request other) {
    List<String> differences = new ArrayList<>();
    Need.differ(differences, "kind", kind, other.kind);
    Need.differ(differences, "arrived_ms", arrivedMs, other.arrivedMs);
    Need.differ(differences, "due_ms", dueMs, other.dueMs);
    differences.addAll(need.differences(other.need));
    return differences;
  }

  /** As it is once a change of its room is recorded. */
  public Request moved(Reservation.Move move) {
    return move.zones().isEmpty() ? withoutRoom(move.without()) : reserved(move.zones());
  }

  Request reserved(Map<String, Integer> where) {
    return new Request(
        reference, kind, arrivedMs, dueMs, need, recordedMs, State.RESERVED, where, "", 0, 0);
  }

  Request withoutRoom(String why) {
    return new Request(
        reference, kind, arrivedMs, dueMs, need, recordedMs, State.ARRIVED, Map.of(), why, 0, 0);
  }

  /** Over: with it goes the room, which is nowhere but in this record, so it cannot go twice. */
  Request over(State end, long atMs, long boundMs) {
    return new Request(
        reference, kind, arrivedMs, dueMs, need, recordedMs, end, Map.of(), "", atMs, boundMs);
  }
}
