package org.quincecross.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.overload.Shares;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.protocol.SettingsReader;
import org.quincecross.protocol.SettingsWriter;
import org.quincecross.rollout.Build;
import org.quincecross.state.CompletedTasks;

/**
 * Days in virtual time, identical at each run, that together use every message, every kind of
 * record and every level.
 */
final class RecordedDays {
  private static final String SWEEPS =
      """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 3
            tasks = 3
            cpus = 2
            memory_gb = 4

            [[jobs]]
            name = "sweep"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 8
            every_s = 4
            tasks = 40
            cpus = 1
            memory_gb = 2
            run_s = 40
            """;
  private static final List<String> ADMIN_PATHS =
      List.of(
          "/admin/status",
          "/admin/blocks",
          "/admin/machines",
          "/admin/metrics",
          "/admin/settings",
          "/admin/unknown",
          "/admin/agreed",
          "/admin/agreed/holds",
          "/admin/agreed/requests",
          "/admin/agreed/models",
          "/admin/agreed/sweeps",
          "/admin/agreed/claims",
          "/admin/agreed/nothing",
          "/admin/models",
          "/admin/models/m",
          "/up",
          "/nowhere");
  private static final List<String> BAD_JOBS =
      List.of("", "[]", "{", "{}", "3", "{\"Name\": 1}", "\"job\"");

  private final MessageRecorder recorder;

  private RecordedDays(MessageRecorder recorder) {
    this.recorder = recorder;
  }

  /**
   * Prints the digest of all messages, which stays the same across a change without effect on
   * behaviour, provided that the JVM iterates over maps and sets in the same order each time. With
   * a folder as argument: writes the recorded messages there, for comparison with the golden files
   * or addition to them.
   */
  public static void main(String[] arguments) throws MalformedMessageException, IOException {
    MessageRecorder recorder = run();
    System.out.println(recorder.digest());
    if (arguments.length > 0) {
      Path folder = Path.of(arguments[0]);
      Files.write(folder.resolve("vocabulary.txt"), recorder.vocabulary());
      Files.write(folder.resolve("messages.tsv"), recorder.examples());
      Files.write(folder.resolve("malformed.txt"), malformed());
    }
  }

  /** Runs all of the days. */
  static MessageRecorder run() throws MalformedMessageException {
    MessageRecorder recorder = new MessageRecorder();
    RecordedDays days = new RecordedDays(recorder);
    days.runFaults();
    days.runOverload();
    days.runMixedFleet();
    days.runLegalHolds();
    days.runModels();
    days.runDeadlineRequests();
    days.recordLargeJob();
    return recorder;
  }

  /**
   * Random days of a small deployment: without extras, with dependent jobs, with a change of the
   * level, and with combined faults.
   */
  private void runFaults() {
    new RandomScenario(40).with((cluster, seed) -> recordState(cluster, 300)).run();
    RandomScenario.withPipelines(42).with((cluster, seed) -> recordState(cluster, 200)).run();
    RandomScenario.withUpgrade(43).with((cluster, seed) -> recordState(cluster, 200)).run();
    RandomScenario.withFurtherCombinedFaults(44)
        .with((cluster, seed) -> recordState(cluster, 200))
        .run();
  }

  private void recordState(SimulatedCluster cluster, double untilS) {
    cluster.observe(recorder);
    for (double at = 20; at < untilS; at += 45) {
      cluster.time().at(at, () -> sendAllOperatorRequests(cluster));
    }
  }

  /** Sends all requests of operators to each running controller, and submits invalid jobs. */
  private void sendAllOperatorRequests(SimulatedCluster cluster) {
    for (int node = 0; node < cluster.nodeCount(); node++) {
      if (cluster.status(node) == null) {
        continue;
      }
      for (String path : ADMIN_PATHS) {
        send(cluster, node, HttpRequest.get(path));
      }
      for (String body : BAD_JOBS) {
        send(cluster, node, HttpRequest.post("/v2/runs", body.getBytes(StandardCharsets.UTF_8)));
        send(
            cluster,
            node,
            new HttpRequest(
                "PUT", "/admin/settings", body.getBytes(StandardCharsets.UTF_8), false));
        send(cluster, node, HttpRequest.post("/agent/beat", body.getBytes(StandardCharsets.UTF_8)));
      }
      send(cluster, node, HttpRequest.get("/v2/runs/job-999999"));
      send(cluster, node, HttpRequest.delete("/v2/runs/job-999999"));
    }
  }

  private void send(SimulatedCluster cluster, int node, HttpRequest request) {
    cluster.sendDirectly(
        node, request, response -> recorder.answered("controller", request, response));
  }

  private static void runUntil(SimulatedCluster cluster, double seconds) {
    cluster.time().runUntil(seconds);
  }

  /**
   * More work than capacity, with the deployed features: the order during an overload, and the
   * service level counts.
   */
  private void runOverload() {
    ClusterSpec spec = ClusterSpec.fleet(60);
    SimulatedCluster cluster =
        new SimulatedCluster(
            spec,
            45,
            Meter.OFF,
            new Features(Shares.DEFAULTS, TimeSpan.ofSeconds(30), Build.present("new", 2)));
    recordState(cluster, 120);
    WorkloadGenerator load = new WorkloadGenerator(cluster.environment(), 45);
    cluster.time().at(10, () -> load.begin(10));
    cluster.time().at(70, () -> cluster.crash(Math.max(0, cluster.leader())));
    runUntil(cluster, 130);
  }

  /** Gangs, large arrays and a change of the settings by an operator. */
  private void runMixedFleet() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            ClusterSpec.mixed(120),
            46,
            Meter.OFF,
            new Features(Shares.DEFAULTS, TimeSpan.ofSeconds(30), Build.present("new", 2)));
    recordState(cluster, 120);
    WorkloadGenerator load = new WorkloadGenerator(cluster.environment(), 46);
    cluster.time().at(10, () -> load.begin(10));
    // Depends on more jobs than fit in its own record.
    Set<JobId> predecessors =
        IntStream.range(0, 130)
            .mapToObj(i -> new JobId("job-" + (900_000 + i)))
            .collect(Collectors.toSet());
    for (int i = 0; i < predecessors.size(); i++) {
      int number = 900_000 + i;
      cluster.time().at(8 + 0.1 * i, () -> cluster.users().submit(array(cluster, number)));
    }
    cluster
        .time()
        .at(50, () -> cluster.users().submit(array(cluster, 998).withDependencies(predecessors)));
    cluster
        .time()
        .at(
            40,
            () ->
                send(
                    cluster,
                    0,
                    new HttpRequest(
                        "PUT",
                        "/admin/settings",
                        "{\"version\": 0, \"settings\": {\"spare_tasks\": 3, \"gone\": [\"n9\"]}}"
                            .getBytes(StandardCharsets.UTF_8),
                        false)));
    runUntil(cluster, 150);
  }

  /**
   * The completed-task records of a job with more tasks than a chunk, which days this short do not
   * write.
   */
  private void recordLargeJob() {
    TaskSet done = TaskSet.range(CompletedTasks.CHUNK_SIZE + 17);
    IntStream.range(1, 2000).forEach(i -> done.add(CompletedTasks.CHUNK_SIZE + 2 * i));
    for (int chunk = 0; chunk < 2; chunk++) {
      recorder.stored("q/done/job-5/" + chunk, CompletedTasks.write(done, chunk));
    }
  }

  private static Job array(SimulatedCluster cluster, int number) {
    return Job.builder(new JobId("job-" + number))
        .jobClass("sync")
        .team(cluster.spec().teams().keySet().iterator().next())
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(5)
        .taskResources(new Resources(1, 0, 1))
        .machineTypes(Set.of("box-8"))
        .zone("left")
        .allowsSpot(true)
        .image("img-1")
        .imageGb(0.5)
        .estimate(TimeSpan.ofSeconds(20))
        .checkpointInterval(TimeSpan.ofSeconds(5))
        .checkpointCost(TimeSpan.ofSeconds(1))
        .deadline(TimeSpan.ofSeconds(90))
        .build();
  }

  /**
   * The answers to submissions, settings and features with each field missing or of a wrong type:
   * the status, and the field that the answer names.
   */
  static List<String> malformed() throws MalformedMessageException {
    SimulatedCluster cluster = new SimulatedCluster(ClusterSpec.mixed(120), 50, Meter.OFF);
    runUntil(cluster, 20);
    List<String> lines = new ArrayList<>();
    Map<String, Object> job = JobCodec.writeSubmission(array(cluster, 997));
    job.put(JobCodec.DEPENDENCIES, List.of("job-1"));
    for (Map.Entry<String, Object> bad : malformedVariants(job).entrySet()) {
      cluster.sendDirectly(
          0,
          HttpRequest.post(JobCodec.JOBS_PATH, Json.write(bad.getValue())),
          response ->
              lines.add(
                  "POST "
                      + JobCodec.JOBS_PATH
                      + " "
                      + bad.getKey()
                      + ": "
                      + response.status()
                      + namedFields(new String(response.body(), StandardCharsets.UTF_8))));
      runUntil(cluster, cluster.time().seconds() + 1);
    }
    Map<String, Object> operators =
        Json.object(
            "version",
            0L,
            "settings",
            Json.object(
                "renting",
                true,
                "returning",
                true,
                "idle_s",
                25.0,
                "spare_tasks",
                2L,
                "most_level",
                0L,
                "gone",
                List.of("n9")));
    for (Map.Entry<String, Object> bad : malformedVariants(operators).entrySet()) {
      cluster.sendDirectly(
          0,
          new HttpRequest("PUT", "/admin/settings", Json.write(bad.getValue()), false),
          response ->
              lines.add(
                  "PUT /admin/settings "
                      + bad.getKey()
                      + ": "
                      + response.status()
                      + namedFields(new String(response.body(), StandardCharsets.UTF_8))));
      runUntil(cluster, cluster.time().seconds() + 1);
    }
    List<Endpoint> nodes =
        IntStream.range(0, 3).mapToObj(i -> new Endpoint("10.0.0." + i, 80)).toList();
    Settings settings =
        ClusterSpec.mixed(120).settings(0, nodes, nodes, nodes.get(1), nodes.get(2));
    for (Map.Entry<String, Object> bad :
        malformedVariants(asMap(Json.parse(SettingsWriter.write(settings)))).entrySet()) {
      lines.add(
          "settings "
              + bad.getKey()
              + ": "
              + refusal(() -> SettingsReader.read(Json.write(bad.getValue()))));
    }
    byte[] features =
        "{\"overload\": {\"usable\": 0.85, \"coming\": 1, \"floor\": 0.05, \"turns\": 0.05, \"begin_s\": 100}, \"served\": {\"log_every_s\": 60}, \"rollout\": {\"build\": \"b\", \"most_level\": 2}, \"agreed\": {\"holds\": {}}}"
            .getBytes(StandardCharsets.UTF_8);
    for (Map.Entry<String, Object> bad :
        malformedVariants(asMap(Json.parse(features))).entrySet()) {
      lines.add(
          "features "
              + bad.getKey()
              + ": "
              + refusal(() -> Features.read(Json.write(bad.getValue()))));
    }
    Collections.sort(lines);
    return lines;
  }

  private interface Reading {
    void read() throws MalformedMessageException;
  }

  private static String refusal(Reading reading) {
    try {
      reading.read();
      return "read";
    } catch (MalformedMessageException e) {
      return "refused" + namedFields(e.getMessage());
    }
  }

  /** The words of a message that name a field or a setting. */
  private static String namedFields(String message) {
    Matcher matcher = Pattern.compile("(?:field|setting|name) ([A-Za-z_]+)").matcher(message);
    return matcher.find() ? " names " + matcher.group(1) : "";
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> asMap(Object value) {
    return (Map<String, Object>) value;
  }

  /**
   * Variants of an object with each field, also of nested objects, missing, of other types or out
   * of range, and with one additional field.
   */
  private static Map<String, Object> malformedVariants(Map<String, Object> whole) {
    Map<String, Object> spoilt = new LinkedHashMap<>();
    Map<String, Object> more = new LinkedHashMap<>(whole);
    more.put("surplus", 1L);
    spoilt.put("with surplus", more);
    whole.forEach(
        (name, value) -> {
          Map<String, Object> without = new LinkedHashMap<>(whole);
          without.remove(name);
          spoilt.put("without " + name, without);
          for (Object other :
              List.of("", "word", -1L, 1e12, true, List.of(), List.of(1L), Map.of())) {
            Map<String, Object> changed = new LinkedHashMap<>(whole);
            changed.put(name, other);
            spoilt.put(name + " = " + other, changed);
          }
          if (value instanceof Map<?, ?> map) {
            malformedVariants(asMap(map))
                .forEach(
                    (what, inner) -> {
                      Map<String, Object> changed = new LinkedHashMap<>(whole);
                      changed.put(name, inner);
                      spoilt.put(name + " " + what, changed);
                    });
          }
        });
    return spoilt;
  }

  private void runLegalHolds() throws MalformedMessageException {
    LegalHoldCluster testCluster = new LegalHoldCluster(SWEEPS, 30, 47);
    recordState(testCluster.cluster, 160);
    testCluster.declareSweepsWithClaims(
        "sweep", "cdr", "0-19", "cdr/2025-03", "20-39", "cdr/2025-04");
    testCluster.at(44, () -> testCluster.open(0, "ref-1", "r1", "cdr/2025-03"));
    testCluster.at(46, () -> testCluster.openFrom(1, "ref-2", "r2", 60, "cdr/2025-04"));
    testCluster.at(48, () -> testCluster.open(1, "ref-3", "r3", "not a record"));
    testCluster.at(80, () -> testCluster.close(2, "ref-1", "c1", 1));
    testCluster.at(90, () -> testCluster.cluster.crash(Math.max(0, testCluster.cluster.leader())));
    testCluster.at(100, () -> testCluster.close(0, "ref-2", "c2", 1));
    runUntil(testCluster.cluster, 170);
  }

  private void runModels() throws MalformedMessageException {
    ModelServingCluster testCluster = new ModelServingCluster(ClusterSpec.tryOut(24, true), 48);
    recordState(testCluster.cluster, 150);
    testCluster.submitAt(
        ModelServingCluster.DEFINED_S - 0.5,
        ModelServingCluster.job(100, 4, 6, ModelServingCluster.FETCH_S, false));
    runUntil(testCluster.cluster, ModelServingCluster.DEFINED_S);
    testCluster.define("m", 100, 2, 4);
    testCluster.wakeAt(50, 1, "m");
    for (int i = 0; i < 30; i++) {
      testCluster
          .cluster
          .time()
          .at(
              60 + i,
              () ->
                  testCluster.send(
                      1, "m/load", Map.of("from", "gateway", "in_flight", 30), response -> {}));
    }
    testCluster
        .cluster
        .time()
        .at(110, () -> testCluster.send(0, "m/drain", Map.of("request", "d1"), response -> {}));
    runUntil(testCluster.cluster, 160);
  }

  private void runDeadlineRequests() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            ClusterSpec.tryOut(30, true),
            49,
            Meter.OFF,
            new Features(
                null,
                null,
                Build.present("requests", 3),
                Map.of("requests", Map.of("share", 0.5))));
    recordState(cluster, 130);
    List<Map<String, Object>> commands = new ArrayList<>();
    for (String kind : List.of("police", "carrier")) {
      commands.add(
          Json.object(
              "do",
              "arrive",
              "kind",
              kind,
              "arrived_ms",
              1_000_000_000L,
              "due_ms",
              1_086_400_000L,
              "lane",
              "front",
              "team",
              "web",
              "tasks",
              8,
              "cpus",
              2,
              "memory_gb",
              4,
              "zones",
              List.of()));
    }
    commands.add(Json.object("do", "answer"));
    commands.add(Json.object("do", "withdraw", "why", "not needed"));
    commands.add(Json.object("do", "nothing"));
    for (int i = 0; i < commands.size(); i++) {
      Map<String, Object> command = commands.get(i);
      int number = i;
      cluster
          .time()
          .at(
              40 + 15 * i,
              () ->
                  send(
                      cluster,
                      number % 3,
                      HttpRequest.post(
                          "/admin/agreed/requests/ref-" + number % 2,
                          Json.write(
                              Json.object(
                                  "request", "r-" + number, "by", "clerk", "command", command)))));
    }
    runUntil(cluster, 140);
  }
}
