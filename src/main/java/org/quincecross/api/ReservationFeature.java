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
  private static final double DEFAULT_SHARE = 0.2;
  private static final double DEFAULT_WARN_S = 24 * 3600;
  private static final double MAX_WARN_S = 366 * 24 * 3600;

  private final ReplicatedFeatureContext context;
  private final ReservedCapacity capacity;
  private final ReservationManager reservations;
  private final double share;
  private ReservationPlanner.Plan plan;
  private Revision planRevision;

  /**
   * Creates the feature.
   *
   * @throws IllegalArgumentException if its settings are malformed
   */
  ReservationFeature(ReplicatedFeatureContext context) {
    this.context = context;
    double warnS;
    try {
      RecordFields settings =
          context.settingsOf(RequestKind.NAME).allowOnly(java.util.List.of("share", "warn_s"));
      share = settings.has("share") ? settings.amount("share", 0, 1) : DEFAULT_SHARE;
      warnS = settings.has("warn_s") ? settings.amount("warn_s", 0, MAX_WARN_S) : DEFAULT_WARN_S;
    } catch (MalformedRecordException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
    ReplicatedRecordIndex<DeadlineRequest, RequestCommand> index =
        context
            .cache()
            .replicatedRecords()
            .add(new RequestKind(this::unreservedReason, (long) (warnS * 1000)));
    capacity = new ReservedCapacity(context.cache(), index);
    reservations = new ReservationManager(context.store(), index, capacity, share);
  }

  void start(DemandForecast forecast, Leader leader) {
    forecast.keep(capacity);
    leader.enableReservations(reservations);
  }

  /**
   * Why a request has no capacity according to the records; identical on all controllers with the
   * same revision.
   */
  private String unreservedReason(String reference) {
    if (plan == null || !context.cache().revision().equals(planRevision)) {
      plan = capacity.plan(context.settings().teams(), share);
      planRevision = context.cache().revision();
    }
    return plan.unreservedReasons().getOrDefault(reference, "");
  }
}
