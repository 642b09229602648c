package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Every report arrives a second time, 1 s to three leases later, with three controllers in virtual
 * time.
 */
class DuplicatedMessagesTest extends BusyCluster {
  DuplicatedMessagesTest() throws MalformedMessageException {
    cluster.time().at(10, () -> cluster.duplicateReports(1, new Random(7)));
  }

  /**
   * Machines that are gone are lost when their leases expire, although duplicates of their reports
   * still arrive.
   */
  @Test
  void duplicatesKeepNoMachineAlive() {
    double lease = spec.workers().lease().seconds();
    cluster.time().runUntil(40);
    List<MachineId> cut = cluster.cloud().machines().subList(0, 8);
    for (MachineId machine : cut) {
      for (int node = 0; node < spec.nodes(); node++) {
        cluster.cut(ClusterSpec.nodeName(node), machine.text(), 300, true);
      }
    }
    cluster.time().runUntil(40 + lease + 8);
    assertEquals(36, replicas());
    assertWorkCompletesAndReplicasRun(170);
  }

  /**
   * A new leader does not admit a machine that is gone, whichever of its reports arrives late, even
   * the very first, which carries no token and looks like that of a new machine
   * (docs/incidents/a-gone-machines-first-report.md).
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 0})
  void duplicatesBringNoMachineBack(long token) {
    cluster.time().runUntil(40);
    Machine gone = cluster.cloud().workers().get(3).machine();
    MachineId machine = gone.id();
    HttpRequest copy =
        HttpRequest.post(
            "/agent/beat",
            Json.write(
                Json.object(
                    "Host",
                    machine.text(),
                    "Addr",
                    gone.address().toString(),
                    "Hull",
                    gone.type(),
                    "Yard",
                    gone.zone(),
                    "Loaners",
                    gone.spot(),
                    "Shift",
                    1L,
                    "Tick",
                    9L,
                    "Baton",
                    token,
                    "Pieces",
                    List.of())));
    cluster.cloud().terminate(machine, 0);
    boolean left = false;
    for (double at = 40; at < 130; at += 0.25) {
      cluster.time().runUntil(at);
      boolean there = isInShard(machine);
      for (int node = 0; left && node < spec.nodes(); node++) {
        if (cluster.status(node) != null) {
          cluster.sendDirectly(node, copy, response -> {});
        }
      }
      assertFalse(left && there, "admitted again at " + at);
      if (!there && !left) {
        left = true;
        cluster.crash(
            Math.max(0, cluster.leader())); // and with it its knowledge of machines that are gone
      }
    }
    assertTrue(left);
    assertWorkCompletesAndReplicasRun(170);
  }

  private boolean isInShard(MachineId machine) {
    boolean[] there = new boolean[1];
    for (int node = 0; node < spec.nodes(); node++) {
      if (cluster.status(node) != null) {
        cluster.sendDirectly(
            node,
            HttpRequest.get("/admin/machines"),
            response ->
                there[0] |=
                    new String(response.body(), StandardCharsets.UTF_8)
                        .contains("\"machine\":\"" + machine.text() + "\""));
      }
    }
    return there[0];
  }

  /**
   * Duplicates of a machine's reports arrive after it has restarted: nothing of its former process
   * is revived, and each of its new tasks runs once.
   */
  @Test
  void duplicatesFromBeforeRestartReviveNothing() {
    for (int i = 0; i < 5; i++) {
      int from = i * 8;
      cluster
          .time()
          .at(
              30 + 4 * i,
              () ->
                  cluster
                      .cloud()
                      .workers()
                      .subList(from, from + 8)
                      .forEach(worker -> worker.restart(0.3)));
    }
    assertWorkCompletesAndReplicasRun(170);
  }

  /**
   * Duplicates of all reports of half a minute arrive at every controller just as the next leader
   * begins, or after it has acted; meanwhile some machines have gone, some have restarted, and some
   * are unreachable. The next leader fails soon as well.
   */
  @ParameterizedTest
  @CsvSource({"1, 0.2", "1, 6", "0.4, 20"})
  void duplicatesForNextLeaderReviveNothing(double share, double downS) {
    cluster.time().runUntil(20);
    cluster.duplicateReports(0, new Random(7));
    cluster.duplicateReportsForNextLeader(share, new Random(8));
    cluster.time().runUntil(48);
    List<AgentSimulator> workers = List.copyOf(cluster.cloud().workers());
    List<MachineId> gone =
        workers.subList(0, 4).stream().map(worker -> worker.machine().id()).toList();
    gone.forEach(machine -> cluster.cloud().terminate(machine, 0));
    workers.subList(4, 10).forEach(worker -> worker.restart(0.3));
    workers
        .subList(10, 14)
        .forEach(
            worker -> {
              for (int node = 0; node < spec.nodes(); node++) {
                cluster.cut(ClusterSpec.nodeName(node), worker.machine().id().text(), 30, true);
              }
            });
    cluster.time().runUntil(50);
    cluster.stopFor(cluster.leader(), downS);
    cluster.time().at(62, () -> cluster.stopFor(Math.max(0, cluster.leader()), downS));
    cluster.time().runUntil(62 + 3 * spec.workers().lease().seconds() + 20);
    assertEquals(36, replicas());
    gone.forEach(machine -> assertFalse(isInShard(machine), "still in a shard: " + machine));
    assertWorkCompletesAndReplicasRun(190);
  }
}
