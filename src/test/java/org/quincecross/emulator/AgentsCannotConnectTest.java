package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.MachineId;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Machines that reach no controller, although commands reach them and are answered; three
 * controllers in virtual time.
 */
class AgentsCannotConnectTest extends BusyCluster {
  AgentsCannotConnectTest() throws MalformedMessageException {}

  /**
   * A sixth or a half of the machines cannot send for a while; in some cases the leader fails
   * meanwhile. Their tasks run elsewhere once the leases have expired, and not before; machines
   * that send again are given work again.
   */
  @ParameterizedTest
  @CsvSource({"8, 8, -1", "8, 60, -1", "8, 60, 3", "8, 60, 11", "22, 20, 2", "22, 45, 14"})
  void tasksRunElsewhereOnceLeasesHaveExpired(int count, double seconds, double leaderEndsAfterS) {
    double lease = spec.workers().lease().seconds();
    cluster.time().runUntil(40);
    List<MachineId> mute = cluster.cloud().machines().subList(0, count);
    int before = mute.stream().mapToInt(cluster.invariants()::onMachine).sum();
    assertTrue(before > 0, "some runs there");
    mute.forEach(machine -> cluster.dropOutbound(machine, seconds));
    if (leaderEndsAfterS >= 0) {
      cluster.time().at(40 + leaderEndsAfterS, () -> cluster.crash(Math.max(0, cluster.leader())));
    }
    cluster.time().runUntil(40 + 2 * lease + 25);
    assertEquals(36, replicas());
    List<MachineId> left = cluster.cloud().machines().stream().filter(mute::contains).toList();
    cluster.time().runUntil(40 + seconds + 60);
    left.forEach(
        machine ->
            assertTrue(
                !cluster.cloud().machines().contains(machine) || isOpen(machine),
                "given no work: " + machine));
    assertWorkCompletesAndReplicasRun(190);
  }

  private boolean isOpen(MachineId machine) {
    boolean[] open = new boolean[1];
    for (int node = 0; node < spec.nodes(); node++) {
      cluster.sendDirectly(
          node,
          HttpRequest.get("/admin/machines"),
          response -> {
            for (String each : new String(response.body(), StandardCharsets.UTF_8).split("\\{")) {
              open[0] |=
                  each.contains("\"machine\":\"" + machine.text() + "\"")
                      && each.contains("\"open\":true");
            }
          });
    }
    return open[0];
  }
}
