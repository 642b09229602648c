package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.MachineId;

/**
 * Machines boot within two seconds and get work at once while writes are delayed and the leader
 * fails, in virtual time.
 */
class FastBootTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3);

  /** The running machines that no shard owns. */
  private Set<MachineId> machinesWithoutShard() {
    Set<MachineId> outside = new TreeSet<>(cluster.cloud().machines());
    for (int node = 0; node < cluster.nodeCount(); node++) {
      if (cluster.status(node) != null) {
        cluster.sendDirectly(
            node,
            HttpRequest.get("/admin/machines"),
            response -> {
              String all = new String(response.body(), StandardCharsets.UTF_8);
              outside.removeIf(machine -> all.contains("\"machine\":\"" + machine.text() + "\""));
            });
      }
    }
    return outside;
  }

  /**
   * The leader fails {@code afterS} after the first machine was rented: all machines get work or
   * are returned, and all submitted jobs end.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.3, 1, 2.2, 4.5, 9})
  void leaderFailureLeavesNoMachineUnused(double afterS) {
    cluster.state().applyLate(0);
    cluster.time().runUntil(15);
    Set<MachineId> before = Set.copyOf(cluster.cloud().machines());
    cluster.cloud().bootWithin(2, 60);
    Random draws = new Random(9);
    DelayedTransactions late =
        DelayedTransactions.share(0.3, 2, 12, () -> cluster.time().seconds() < 60, draws);
    DelayedTransactions lost =
        DelayedTransactions.atOnce(0.2, () -> cluster.time().seconds() < 60, draws);
    cluster
        .state()
        .delayTransactions(
            transaction -> {
              double after = late.afterS(transaction);
              return after == DelayedTransactions.PROMPT ? lost.afterS(transaction) : after;
            });
    for (int i = 0; i < 40; i++) {
      int number = 100 + i;
      cluster.time().at(15 + 0.2 * i, () -> cluster.users().submit(number));
    }
    double rentedAt = 15;
    while (before.containsAll(cluster.cloud().machines()) && rentedAt < 60) {
      rentedAt += 0.1;
      cluster.time().runUntil(rentedAt);
    }
    assertTrue(rentedAt < 60, "no machine was rented");
    cluster.time().at(rentedAt + afterS, () -> cluster.crash(Math.max(0, cluster.leader())));
    cluster.time().at(rentedAt + afterS + 8, () -> cluster.crash(Math.max(0, cluster.leader())));
    cluster.time().runUntil(110);
    assertEquals(Set.of(), machinesWithoutShard(), "neither in a shard nor returned");
    cluster.time().runUntil(230);
    assertEquals(List.of(), cluster.invariants().violations());
    cluster
        .users()
        .reportedStates()
        .forEach(
            (id, state) ->
                assertTrue(state.equals("done") || state.equals("cancelled"), id + " " + state));
  }
}
