package org.quincecross.reservation;

import java.util.Map;

/** Commands on a request. */
public sealed interface RequestCommand {
  /**
   * Records a request; {@code request} is in the state {@link DeadlineRequest.State#ARRIVED}
   * without a time of recording.
   */
  record Arrive(DeadlineRequest request) implements RequestCommand {}

  /** The answer was delivered; {@code deliveredMs} is -1 for now. */
  record Answer(long deliveredMs) implements RequestCommand {}

  /** The answer is no longer wanted. */
  record Withdraw(String reason) implements RequestCommand {}

  /** Leader command: capacity is reserved for so many tasks in each zone. */
  record Reserve(Map<String, Integer> zones) implements RequestCommand {}

  /** Leader command: the reservation is lost. */
  record LoseReservation(String reason) implements RequestCommand {}
}
