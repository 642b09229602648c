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
 * The parts that have a say in what a leader allocates, where they are switched on; without them a
 * plan is admission's alone.
 */
final class AdmissionExtensions {
  private final Supplier<Map<String, Team>> teams;
  private final Supplier<Map<String, Resources>> teamUse;
  private ReservationManager requests;
  private ModelAutoscaler models;

  AdmissionExtensions(Supplier<Map<String, Team>> teams, Supplier<Map<String, Resources>> teamUse) {
    this.teams = teams;
    this.teamUse = teamUse;
  }

  void add(ReservationManager keeper) {
    requests = keeper;
  }

  void add(ModelAutoscaler keeper) {
    models = keeper;
  }

  /** Before it is planned: what should be reserved for requests. */
  void look(MonotonicTime now) {
    if (requests != null) {
      requests.look(teams.get(), now);
    }
  }

  /** Admits what can be admitted; returns what machines are to be rented for. */
  List<Admission.Unmet> admit(
      List<Admission.Block> blocks,
      Map<ShardId, List<Headroom>> reserves,
      List<JobDemand> waiting) {
    List<Admission.Unmet> unmet =
        models == null
            ? new Admission(blocks, teams.get(), teamUse.get(), reserves).run(waiting)
            : models.admit(blocks, reserves, waiting);
    return requests == null ? unmet : requests.with(unmet);
  }

  /** What a machine looks like to who returns machines. */
  PeerHeartbeat.MachineState seenByFleet(PeerHeartbeat.MachineState state) {
    return models == null ? state : models.seenByFleet(state);
  }

  /** Another controller leads now. */
  void stop() {
    if (models != null) {
      models.stop();
    }
  }
}
