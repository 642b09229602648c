package org.quincecross.leader;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.Team;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.Headroom;
import org.quincecross.scheduling.JobDemand;

/**
 * Optional extensions of admission (reservations, model serving), applied to each plan of the
 * leader.
 */
final class AdmissionExtensions {
  private final Supplier<Map<String, Team>> teams;
  private final Supplier<Map<String, Resources>> teamUse;
  private ReservationManager reservations;
  private ModelAutoscaler models;

  AdmissionExtensions(Supplier<Map<String, Team>> teams, Supplier<Map<String, Resources>> teamUse) {
    this.teams = teams;
    this.teamUse = teamUse;
  }

  void add(ReservationManager reservations) {
    this.reservations = reservations;
  }

  void add(ModelAutoscaler modelAutoscaler) {
    models = modelAutoscaler;
  }

  /** Called before each plan: reserves capacity for deadline requests. */
  void prepare(MonotonicTime now) {
    if (reservations != null) {
      reservations.reconcile(teams.get(), now);
    }
  }

  /** Admits pending jobs; returns the demand that machines are to be launched for. */
  List<Admission.Unmet> admit(
      List<Admission.ShardCapacity> shards,
      Map<ShardId, List<Headroom>> reserves,
      List<JobDemand> waiting) {
    List<Admission.Unmet> unmet =
        models == null
            ? new Admission(shards, teams.get(), teamUse.get(), reserves).run(waiting)
            : models.admit(shards, reserves, waiting);
    return reservations == null ? unmet : reservations.withReservations(unmet);
  }

  /** The state of a machine as the autoscaler should see it. */
  PeerHeartbeat.MachineState autoscalerView(PeerHeartbeat.MachineState state) {
    return models == null ? state : models.autoscalerView(state);
  }

  /** Called when this controller stops leading. */
  void stop() {
    if (models != null) {
      models.stop();
    }
  }
}
