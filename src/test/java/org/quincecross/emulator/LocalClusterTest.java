package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Endpoint;
import org.quincecross.model.JobId;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/** A deployment of real processes and sockets on loopback. */
class LocalClusterTest {
  private static final String JAVA =
      Path.of(System.getProperty("java.home"), "bin", "java").toString();
  private static final String RUN =
      "java -Xmx80m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xshare:auto -cp "
          + System.getProperty("java.class.path")
          + " org.quincecross.cli.Main --config";
  private static final String JOBS =
      """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 3
            tasks = 2
            cpus = 2
            memory_gb = 4

            [[jobs]]
            name = "rebuild"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 2
            tasks = 10
            cpus = 1
            memory_gb = 2
            run_s = 1.5
            """;

  private static LocalCluster.Plan plan(String jobs, int basePort, Drill.Kind drill) {
    return new LocalCluster.Plan(
        9,
        jobs,
        60,
        new Endpoint("127.0.0.1", basePort),
        basePort,
        drill,
        null,
        RUN,
        new File("none.jar"),
        Path.of("").toAbsolutePath(),
        true,
        false);
  }

  /**
   * All controllers are killed and restarted: every worker is answered, every replica runs, every
   * job ends.
   */
  @Test
  void recoversFromRestartOfAllControllers() throws IOException, MalformedMessageException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int status =
        new LocalCluster(plan(JOBS, 23_400, Drill.Kind.RESTART), new PrintStream(out, true)).run();
    String summary = out.toString(StandardCharsets.UTF_8);
    assertEquals(0, status, summary);
    JsonFields all = Json.parseFields(summary.strip().getBytes(StandardCharsets.UTF_8));
    assertEquals(List.of(), all.list("rules_broken"));
    assertEquals("over", all.fields("drill").string("phase"));
    assertEquals(6, all.fields("drill").integer("replicas", 0, 100));
    for (JsonFields controller : all.objects("controllers")) {
      assertEquals(2, controller.integer("starts", 0, 100));
      assertTrue(controller.nonNegativeNumber("resident_mb") < 200, summary);
    }
  }

  /**
   * Records of real sweeps are held while the controller that received the request is killed: the
   * hold is pinned, none of these tasks is on a machine, and they complete once the hold is closed.
   */
  @Test
  void pinsHoldWhileControllerIsKilled() throws IOException, MalformedMessageException {
    String sweeps = JOBS.replace("run_s = 1.5", "run_s = 4").replace("tasks = 10", "tasks = 400");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LocalCluster.Plan plan =
        new LocalCluster.Plan(
            9,
            sweeps,
            150,
            new Endpoint("127.0.0.1", 23_800),
            23_800,
            Drill.Kind.HOLD,
            null,
            RUN,
            new File("none.jar"),
            Path.of("").toAbsolutePath(),
            true,
            false);
    int status = new LocalCluster(plan, new PrintStream(out, true)).run();
    String summary = out.toString(StandardCharsets.UTF_8);
    assertEquals(0, status, summary);
    JsonFields drill =
        Json.parseFields(summary.strip().getBytes(StandardCharsets.UTF_8)).fields("drill");
    assertEquals("over", drill.string("phase"));
    assertTrue(
        drill.nonNegativeNumber("pinned_s") < 40 && drill.integer("tasks_running", 1, 1000) > 0,
        summary);
  }

  /**
   * Real controllers are replaced one after the other, with one rollback of the first; then jobs
   * with dependencies are submitted and the state service lowers its limits. The level rises, every
   * job ends, and no rule is broken.
   */
  @Test
  void upgradesRealControllersToNextLevel() throws IOException, MalformedMessageException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String jobs =
        JOBS
            + JOBS.substring(JOBS.indexOf("[[jobs]]", 5)).replace("\"rebuild\"", "\"next\"")
            + "waits_on = [\"rebuild\"]\n";
    LocalCluster.Plan plan =
        new LocalCluster.Plan(
            9,
            jobs,
            120,
            new Endpoint("127.0.0.1", 26_400),
            26_400,
            Drill.Kind.ROLL,
            null,
            RUN,
            new File("none.jar"),
            Path.of("").toAbsolutePath(),
            true,
            false);
    int status = new LocalCluster(plan, new PrintStream(out, true)).run();
    String summary = out.toString(StandardCharsets.UTF_8);
    assertEquals(0, status, summary);
    JsonFields all = Json.parseFields(summary.strip().getBytes(StandardCharsets.UTF_8));
    assertEquals(List.of(), all.list("rules_broken"));
    assertEquals("over", all.fields("drill").string("phase"));
    assertTrue(
        all.fields("drill").nonNegativeNumber("level_risen_s") > 20
            && all.fields("drill").nonNegativeNumber("limits_lowered_s") > 20,
        summary);
    assertEquals(2, all.integer("dependent_jobs", 0, 100));
    assertTrue(all.nonNegativeNumber("dependent_accepted_within_s") < 5, summary);
    assertEquals(
        List.of(4L, 2L, 2L),
        all.objects("controllers").stream().map(controller -> controller.raw("starts")).toList());
  }

  /**
   * The program that started the deployment is killed, with transactions on their way: its
   * controllers end, and none is left.
   */
  @Test
  void killedLauncherLeavesNoControllers() throws IOException, InterruptedException {
    Process launcher =
        new ProcessBuilder(
                JAVA,
                "-cp",
                System.getProperty("java.class.path"),
                "org.quincecross.cli.Main",
                "try",
                "--machines",
                "9",
                "--listen",
                "127.0.0.1:24400",
                "--base-port",
                "24400")
            .redirectErrorStream(true)
            .start();
    List<ProcessHandle> controllers;
    try (BufferedReader output =
        new BufferedReader(
            new InputStreamReader(launcher.getInputStream(), StandardCharsets.UTF_8))) {
      String line = output.readLine();
      while (line != null && line.contains("starting")) {
        line = output.readLine(); // a slow machine prints a progress line every two seconds
      }
      assertTrue(line != null && line.startsWith("ready"), line);
      controllers = launcher.children().toList();
      assertEquals(3, controllers.size());
    } finally {
      launcher.destroyForcibly();
    }
    for (ProcessHandle controller : controllers) {
      controller.onExit().completeOnTimeout(null, 10, TimeUnit.SECONDS).join();
      assertFalse(controller.isAlive());
    }
  }

  @Test
  void reportsPortInUse() throws IOException {
    try (ServerSocket taken = new ServerSocket()) {
      taken.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 25_411));
      IOException e =
          assertThrows(
              IOException.class, () -> new LocalCluster(plan(JOBS, 25_400, null), System.out));
      assertEquals(
          "port 127.0.0.1:25411 is in use; choose others with --listen and --base-port",
          e.getMessage());
    }
  }

  /** Each copy of a job depends on one copy of each job that its table names. */
  @Test
  void readsPipelineFromJobsFile() throws MalformedMessageException {
    String next =
        JOBS.substring(JOBS.indexOf("[[jobs]]", 5))
                .replace("\"rebuild\"", "\"next\"")
                .replace("copies = 2", "copies = 3")
            + "waits_on = [\"rebuild\"]\n";
    List<WorkloadFile.ScheduledJob> due =
        WorkloadFile.read(JOBS + next, ClusterSpec.tryOut(9, false));
    assertEquals(
        List.of(List.of("job-1003"), List.of("job-1004"), List.of("job-1003")),
        due.stream()
            .filter(each -> each.job().jobClass().equals("next"))
            .map(each -> each.job().dependencies().stream().map(JobId::text).toList())
            .toList());
  }

  /** Errors in a jobs file name the line and the field. */
  @Test
  void reportsErrorsInJobsFile() {
    ClusterSpec spec = ClusterSpec.tryOut(9, false);
    Stream.of(
            new String[] {
              "tasks = 2", "tasks = 0", "line 7: field tasks is not a whole number from 1 to 100000"
            },
            new String[] {"cpus = 2", "cpu = 2", "line 8: field cpu is not known"},
            new String[] {"cpus = 2\n", "\n", "line 1: field cpus is missing"},
            new String[] {
              "team = \"web\"", "team = \"wep\"", "line 5: field team is not one of [web, batch]"
            },
            new String[] {
              "shape = \"service\"",
              "shape = \"servant\"",
              "line 3: field shape is not one of [array, gang, service]"
            },
            new String[] {
              "cpus = 2",
              "cpus = 20",
              "line 8: field cpus and memory_gb of a task fit no machine of this site"
            },
            new String[] {
              "run_s = 1.5",
              "run_s = \"long\"",
              "line 20: field run_s is not a number from 0 to 100000.0"
            },
            new String[] {
              "[[jobs]]\nname = \"front\"", "jobs = 3\n[[jobs]]\nname = \"front\"", "line 2: "
            },
            new String[] {"copies = 3", "copies = 3 3", "line 6: "},
            new String[] {
              "run_s = 1.5",
              "run_s = 1.5\nwaits_on = [\"front\"]",
              "line 21: field waits_on names front, which is not the name of one job"
            },
            new String[] {
              "run_s = 1.5",
              "run_s = 1.5\nwaits_on = \"front\"",
              "line 21: field waits_on is not a list"
            })
        .forEach(
            each -> {
              MalformedMessageException e =
                  assertThrows(
                      MalformedMessageException.class,
                      () ->
                          WorkloadFile.read(
                              JOBS.replaceFirst(each[0].replace("[", "\\["), each[1]), spec));
              assertTrue(e.getMessage().startsWith(each[2]), e.getMessage());
            });
  }
}
