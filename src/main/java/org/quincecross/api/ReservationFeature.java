package org.quincecross.api;

import org.quincecross.leader.Leader;
import org.quincecross.leader.ReservationManager;
import org.quincecross.model.Revision;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.reservation.DeadlineRequest;
import org.quincecross.reservation.RequestCommand;
import org.quincecross.reservation.RequestKind;
import org.quincecross.reservation.ReservationPlanner;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.ReplicatedRecordIndex;
import org.quincecross.state.ReservedCapacity;

/** Deadline requests, if enabled. */
final class ReservationFeature {
  private static final double SHARE = 0.2;
  private static final double WARN_S = 24 * 3600;
  private static final double MOST_WARN_S = 366 * 24 * 3600;

  private final ReplicatedFeatureContext base;
  private final ReservedCapacity rooms;
  private final ReservationManager reservations;
  private final double share;
  private ReservationPlanner.Plan plan;
  private Revision planned;

  /**
   * Creates the feature.
   *
   * @throws IllegalArgumentException if its settings are malformed
   */
  ReservationFeature(ReplicatedFeatureContext base) {
    this.base = base;
    double warnS;
    try {
      RecordFields settings =
          base.settingsOf(RequestKind.NAME).allowOnly(java.util.List.of("share", "warn_s"));
      share = settings.has("share") ? settings.amount("share", 0, 1) : SHARE;
      warnS = settings.has("warn_s") ? settings.amount("warn_s", 0, MOST_WARN_S) : WARN_S;
    } catch (MalformedRecordException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
    ReplicatedRecordIndex<DeadlineRequest, RequestCommand> index =
        base.cache().replicatedRecords().add(new RequestKind(this::outlook, (long) (warnS * 1000)));
    rooms = new ReservedCapacity(base.cache(), index);
    reservations = new ReservationManager(base.store(), index, rooms, share);
  }

  void start(DemandForecast forecast, Leader leader) {
    forecast.keep(rooms);
    leader.enableReservations(reservations);
  }

  /**
   * Why a request has no capacity according to the records; identical on all controllers with the
   * same revision.
   */
  private String outlook(String reference) {
    if (plan == null || !base.cache().revision().equals(planned)) {
      plan = rooms.plan(base.settings().teams(), share);
      planned = base.cache().revision();
    }
    return plan.unreservedReasons().getOrDefault(reference, "");
  }
}
