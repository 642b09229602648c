package org.quincecross.reservation;

import java.util.Map;

/** What is asked of a request. */
public sealed interface RequestCommand {
  /**
   * It has arrived; {@code figures} in the state {@link Request.State#ARRIVED}, recorded at no time
   * yet.
   */
  record Arrive(Request figures) implements RequestCommand {}

  /** Its answer was delivered; {@code deliveredMs} -1: just now. */
  record Answer(long deliveredMs) implements RequestCommand {}

  /** Nobody wants an answer any more. */
  record Withdraw(String why) implements RequestCommand {}

  /** Of the leader alone: room is kept for it from now on, so many tasks in each zone. */
  record Place(Map<String, Integer> zones) implements RequestCommand {}

  /** Of the leader alone: it has no room any more. */
  record Lose(String why) implements RequestCommand {}
}
