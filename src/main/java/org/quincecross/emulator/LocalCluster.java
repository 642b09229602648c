package org.quincecross.emulator;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.quincecross.legalhold.LegalHoldKind;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.net.EventLoop;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.SettingsWriter;
import org.quincecross.rollout.Feature;
import org.quincecross.rollout.FeatureLevel;

/**
 * A whole deployment on this computer: controllers run as processes with the deployed options; this
 * process simulates the state service, the cloud, the workers, the users and their load balancer,
 * over real sockets on loopback. Jobs are submitted from a file, and a {@link Drill} injects a
 * fault. Ends when every job has ended, or at the time limit.
 */
public final class LocalCluster {
  /** The level that a rolling upgrade raises the cluster to. */
  private static final FeatureLevel UPGRADE_LEVEL = Feature.ALLOCATION_CHANGES.since();

  private static final double TICK_S = 0.25;
  private static final double PROGRESS_INTERVAL_S = 2;
  private static final double READY_TIMEOUT_S = 60;
  private static final double STOP_SERVICES_TIMEOUT_S = 30;
  private static final int STATE_PORT = 1;
  private static final int CLOUD_PORT = 9;
  private static final int NODE_PORT = 10;
  private static final int PEER_PORT = 20;
  private static final int MACHINE_PORT = 100;

  /** The states of a trial. */
  enum State {
    STARTING,
    READY,
    FINISHING,
    OVER
  }

  /**
   * What to try.
   *
   * @param machines the capacity of the cloud
   * @param jobs the text of a jobs file, or null for the bundled one
   * @param forS the time limit in seconds
   * @param front the address for users and scripts; its host is a loopback address
   * @param basePort the first of the ports used by everything else
   * @param drill the fault to inject, or null
   * @param from the jar of another build that a rolling upgrade starts with, or null for this
   *     program without the next level
   * @param run the deployed command, or null for a plain one
   * @param home the working directory of the command
   * @param json whether the summary is written as JSON
   * @param live whether progress is shown in one line that is overwritten
   */
  public record Plan(
      int machines,
      String jobs,
      double forS,
      Endpoint front,
      int basePort,
      Drill.Kind drill,
      File from,
      String run,
      File jar,
      Path home,
      boolean json,
      boolean live) {}

  private final Plan plan;
  private final ClusterSpec spec;
  private final PrintStream output;
  private final EventLoop loop = new EventLoop();
  private final Clock clock = new LoopClock(loop);
  private final LoopbackNetwork network;
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final List<WorkloadFile.ScheduledJob> jobs;
  private final Path directory;
  private final ClusterEnvironment environment;
  private final LoadBalancerProxy front;
  private final Drill drill;
  private State state = State.STARTING;
  private double stateSince;
  private double readyAt;
  private double lastProgressAt;
  private int peakTasks;

  /**
   * @throws IOException with a one-line reason why the trial cannot start
   */
  public LocalCluster(Plan plan, PrintStream out) throws IOException {
    this.plan = plan;
    this.output = out;
    this.spec = ClusterSpec.tryOut(plan.machines(), plan.drill() != null);
    try {
      this.jobs = WorkloadFile.read(plan.jobs() == null ? bundledJobs() : plan.jobs(), spec);
    } catch (MalformedMessageException e) {
      throw new IOException("jobs file, " + e.getMessage(), e);
    }
    List<Endpoint> nodes = ports(NODE_PORT);
    List<Endpoint> peers = ports(PEER_PORT);
    List<Endpoint> states = ports(STATE_PORT);
    Endpoint cloud = LoopbackNetwork.at(plan.basePort() + CLOUD_PORT);
    checkMemory();
    for (Endpoint each :
        Stream.of(nodes, peers, states, List.of(cloud, plan.front()))
            .flatMap(List::stream)
            .toList()) {
      checkFree(each);
    }
    network = new LoopbackNetwork(loop, plan.basePort() + MACHINE_PORT);
    for (int node = 0; node < spec.nodes(); node++) {
      network.setCaller(states.get(node), ClusterSpec.nodeName(node));
    }
    directory = Files.createTempDirectory("quincecross-try-");
    try {
      environment =
          new ClusterEnvironment(
              spec, clock, network, new Random(plan.machines()), nodes, cloud, states);
      front = new LoadBalancerProxy(environment);
      network.host(plan.front(), "front", front);
    } catch (UncheckedIOException e) {
      deleteDirectory();
      throw new IOException(e.getMessage(), e);
    }
    List<List<String>> before = new ArrayList<>();
    List<List<String>> after = new ArrayList<>();
    for (int node = 0; node < spec.nodes(); node++) {
      Path settings = directory.resolve(ClusterSpec.nodeName(node) + ".json");
      Files.write(
          settings,
          SettingsWriter.write(
              spec.settings(node, nodes, peers, cloud, states.get(node)),
              plan.drill() == Drill.Kind.ROLL ? ClusterSpec.TRY_OUT_NEXT : null));
      String run = plan.run() == null ? ControllerProcess.plainRun(plan.jar()) : plan.run();
      List<String> command = ControllerProcess.command(run, settings);
      if (plan.drill() == Drill.Kind.ROLL) {
        after.add(
            ControllerProcess.withFeatures(
                command, featuresFile(command, "after", UPGRADE_LEVEL.number())));
        before.add(
            plan.from() != null
                ? ControllerProcess.command(ControllerProcess.plainRun(plan.from()), settings)
                : ControllerProcess.withFeatures(
                    command, featuresFile(command, "before", UPGRADE_LEVEL.previous().number())));
        command = before.get(node);
      } else if (plan.drill() == Drill.Kind.HOLD) {
        command = ControllerProcess.withFeatures(command, featuresFileWithRecords(command));
      } else if (plan.drill() == Drill.Kind.MODEL) {
        command =
            ControllerProcess.withFeatures(
                command, featuresFile(command, "models", FeatureLevel.NEWEST.number()));
      }
      controllers.add(
          new ControllerProcess(
              command, plan.home(), directory.resolve(ClusterSpec.nodeName(node) + ".log")));
    }
    drill =
        plan.drill() == null
            ? null
            : new Drill(plan.drill(), environment, controllers, before, after);
  }

  /**
   * Writes a features file with the features that a command has, for a build that supports levels
   * up to {@code most}.
   */
  private Path featuresFile(List<String> command, String build, int most) throws IOException {
    Map<String, Object> features = new LinkedHashMap<>();
    int with = command.indexOf("--with");
    try {
      if (with >= 0) {
        JsonFields known =
            Json.parseFields(Files.readAllBytes(plan.home().resolve(command.get(with + 1))));
        known.fieldNames().forEach(name -> features.put(name, known.raw(name)));
      }
    } catch (MalformedMessageException e) {
      throw new IOException(command.get(with + 1) + ": " + e.getMessage(), e);
    }
    features.put("rollout", Json.object("build", build, "most_level", most));
    if (plan.drill() == Drill.Kind.MODEL) {
      features.put("agreed", Json.object("models", Json.object()));
    }
    return Files.write(directory.resolve("features-" + build + ".json"), Json.write(features));
  }

  /**
   * Writes a features file with the features that a command has, and with replicated records
   * enabled.
   */
  private Path featuresFileWithRecords(List<String> command) throws IOException {
    Path file = featuresFile(command, "holds", Feature.AGREED_RECORDS.since().number());
    try {
      JsonFields known = Json.parseFields(Files.readAllBytes(file));
      Map<String, Object> features = new LinkedHashMap<>();
      known.fieldNames().forEach(name -> features.put(name, known.raw(name)));
      features.put("agreed", Json.object(LegalHoldKind.NAME, Json.object()));
      return Files.write(file, Json.write(features));
    } catch (MalformedMessageException e) {
      throw new IOException(file + ": " + e.getMessage(), e);
    }
  }

  private List<Endpoint> ports(int first) {
    List<Endpoint> all = new ArrayList<>();
    for (int node = 0; node < spec.nodes(); node++) {
      all.add(LoopbackNetwork.at(plan.basePort() + first + node));
    }
    return all;
  }

  private static String bundledJobs() throws IOException {
    try (var in = LocalCluster.class.getResourceAsStream("sample-jobs.toml")) {
      return new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
    }
  }

  private static void checkFree(Endpoint address) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(address.host(), address.port()));
    } catch (IOException e) {
      throw new IOException(
          "port " + address + " is in use; choose others with --listen and --base-port", e);
    }
  }

  private void checkMemory() throws IOException {
    Path info = Path.of("/proc/meminfo");
    if (!Files.exists(info)) {
      return;
    }
    for (String line : Files.readAllLines(info)) {
      if (line.startsWith("MemAvailable:")) {
        long have = Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
        long need = 200L * spec.nodes() + spec.maxMachines() / 2;
        if (have < need) {
          throw new IOException(
              "too little memory: " + need + " MB are needed, " + have + " MB are free");
        }
      }
    }
  }

  // ---- running ----

  /** The only place where the state of the trial changes. */
  private void enter(State next) {
    state = next;
    stateSince = clock.seconds();
  }

  /**
   * Runs the trial to its end; returns 0 if every job ended as it should and no rule was broken.
   */
  public int run() throws IOException {
    Thread onInterrupt = new Thread(this::interrupted);
    Runtime.getRuntime().addShutdownHook(onInterrupt);
    try {
      for (ControllerProcess controller : controllers) {
        controller.start();
      }
      clock.after(TICK_S, this::tick);
      loop.run();
    } finally {
      cleanUp();
      try {
        Runtime.getRuntime().removeShutdownHook(onInterrupt);
      } catch (IllegalStateException e) {
        // the program is already shutting down
      }
    }
    return printSummary();
  }

  private void interrupted() {
    loop.stop();
    cleanUp();
  }

  private synchronized void cleanUp() {
    controllers.forEach(ControllerProcess::kill);
    network.close();
    deleteDirectory();
  }

  private void deleteDirectory() {
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException | UncheckedIOException e) {
      // already deleted
    }
  }

  private void tick() {
    controllers.forEach(ControllerProcess::sampleFootprint);
    peakTasks = Math.max(peakTasks, environment.invariants().onMachines());
    double now = clock.seconds();
    switch (state) {
      case STARTING -> {
        boolean heard =
            environment.cloud().workers().stream()
                .anyMatch(worker -> worker.lastAnsweredReportAt() >= 0);
        if (front.healthyCount() == spec.nodes() && heard) {
          readyAt = now;
          enter(State.READY);
          printLine(
              String.format(
                  "ready after %.1f s: %d controllers, %d machines; users reach them at %s",
                  now, spec.nodes(), environment.cloud().workers().size(), plan.front()));
          submit();
          if (drill != null) {
            drill.begin(jobs.get(jobs.size() - 1).atS());
          }
        } else if (now > READY_TIMEOUT_S
            || controllers.stream()
                .anyMatch(each -> each.state() == ControllerProcess.State.DOWN)) {
          printLine(String.format("not ready after %.1f s: %s", now, failures()));
          enter(State.OVER);
        }
      }
      case READY -> {
        boolean timeIsUp = now - readyAt > plan.forS();
        if (timeIsUp
            || (allSubmitted() && openWork().isEmpty() && (drill == null || drill.isOver()))) {
          services().forEach(id -> environment.users().cancel(id));
          enter(State.FINISHING);
        }
      }
      case FINISHING -> {
        if ((services().isEmpty() && environment.invariants().onMachines() == 0)
            || now - stateSince > STOP_SERVICES_TIMEOUT_S) {
          enter(State.OVER);
        }
      }
      default -> throw new IllegalStateException(state.toString());
    }
    printProgress(now);
    if (state == State.OVER) {
      loop.stop();
    } else {
      clock.after(TICK_S, this::tick);
    }
  }

  /**
   * Jobs with dependencies are submitted only once a rolling upgrade has replaced all controllers.
   */
  private void submit() {
    List<WorkloadFile.ScheduledJob> later =
        jobs.stream()
            .filter(due -> plan.drill() == Drill.Kind.ROLL && !due.job().dependencies().isEmpty())
            .toList();
    if (!later.isEmpty()) {
      drill.whenAllReplaced(() -> later.forEach(due -> environment.pipelines().submit(due.step())));
    }
    jobs.stream()
        .filter(due -> !later.contains(due))
        .forEach(due -> clock.after(due.atS(), () -> environment.pipelines().submit(due.step())));
  }

  private String failures() {
    StringBuilder why = new StringBuilder();
    for (int node = 0; node < controllers.size(); node++) {
      if (controllers.get(node).state() == ControllerProcess.State.DOWN) {
        why.append(ClusterSpec.nodeName(node))
            .append(" has ended: ")
            .append(lastLine(node))
            .append(' ');
      }
    }
    return why.length() == 0
        ? front.healthyCount() + " of " + controllers.size() + " controllers answer"
        : why.toString().trim();
  }

  private String lastLine(int node) {
    try {
      List<String> lines =
          Files.readAllLines(directory.resolve(ClusterSpec.nodeName(node) + ".log"));
      return lines.isEmpty() ? "it said nothing" : lines.get(lines.size() - 1);
    } catch (IOException e) {
      return "its log cannot be read";
    }
  }

  private boolean allSubmitted() {
    return environment.users().submitted() >= jobs.size();
  }

  private boolean isOver(JobId id) {
    String jobState = environment.users().reportedStates().get(id);
    return "done".equals(jobState) || "cancelled".equals(jobState);
  }

  /** The arrays and gangs that have not ended. */
  private List<Job> openWork() {
    return jobs.stream()
        .map(WorkloadFile.ScheduledJob::job)
        .filter(job -> job.kind() != JobKind.SERVICE && !isOver(job.id()))
        .toList();
  }

  private List<JobId> services() {
    return jobs.stream()
        .map(WorkloadFile.ScheduledJob::job)
        .filter(
            job ->
                job.kind() == JobKind.SERVICE
                    && environment.users().reportedStates().containsKey(job.id())
                    && !isOver(job.id()))
        .map(Job::id)
        .toList();
  }

  // ---- output ----

  private void printLine(String line) {
    if (!plan.json()) {
      output.println((plan.live() ? "\r\033[K" : "") + line);
    }
  }

  private void printProgress(double now) {
    if (plan.json()
        || state == State.OVER
        || (!plan.live() && now - lastProgressAt < PROGRESS_INTERVAL_S)) {
      return;
    }
    lastProgressAt = now;
    Set<JobId> ended = new HashSet<>();
    jobs.forEach(
        due -> {
          if (isOver(due.job().id())) {
            ended.add(due.job().id());
          }
        });
    String line =
        String.format(
            "%6.1f s  %-9s controllers %d of %d well  machines %d  jobs %d submitted, %d ended  tasks on machines %d%s",
            now,
            state.toString().toLowerCase(java.util.Locale.ROOT),
            front.healthyCount(),
            spec.nodes(),
            environment.cloud().workers().size(),
            environment.users().submitted(),
            ended.size(),
            environment.invariants().onMachines(),
            drill == null ? "" : "  drill " + drill.phase());
    output.print(plan.live() ? "\r\033[K" + line : line + System.lineSeparator());
    output.flush();
  }

  private int printSummary() {
    List<String> unfinished = new ArrayList<>();
    for (WorkloadFile.ScheduledJob due : jobs) {
      String jobState = environment.users().reportedStates().get(due.job().id());
      String wanted = due.job().kind() == JobKind.SERVICE ? "cancelled" : "done";
      if (!wanted.equals(jobState)) {
        unfinished.add(
            due.job().id()
                + " ("
                + due.job().jobClass()
                + ") "
                + (jobState == null ? "was not accepted" : "is " + jobState));
      }
    }
    List<String> broken = environment.invariants().violations();
    boolean good =
        state == State.OVER
            && readyAt > 0
            && unfinished.isEmpty()
            && broken.isEmpty()
            && (drill == null || drill.isOver());
    Map<String, Object> all =
        Json.object(
            "good",
            good,
            "ready_s",
            round(readyAt),
            "seconds",
            round(clock.seconds()),
            "machines",
            plan.machines(),
            "jobs",
            jobs.size(),
            "unfinished",
            unfinished,
            "rules_broken",
            broken,
            "tasks_started",
            environment.invariants().starts(),
            "most_tasks_at_once",
            peakTasks,
            "answers",
            environment.users().answers(),
            "longest_answer_s",
            environment.users().longestResponseS(),
            "teams",
            OverloadDays.servedAsJson(environment.accounting().teams(environment.now())),
            "classes",
            OverloadDays.servedAsJson(environment.accounting().classes(environment.now())));
    List<JobId> dependent =
        jobs.stream()
            .map(WorkloadFile.ScheduledJob::job)
            .filter(job -> !job.dependencies().isEmpty())
            .map(Job::id)
            .toList();
    all.put("dependent_jobs", dependent.size());
    all.put(
        "dependent_accepted_within_s",
        round(
            dependent.stream()
                .mapToDouble(
                    id -> environment.users().acceptedAfter().getOrDefault(id, Double.MAX_VALUE))
                .max()
                .orElse(0)));
    List<Object> nodes = new ArrayList<>();
    for (int node = 0; node < controllers.size(); node++) {
      ControllerProcess.Footprint most = controllers.get(node).peak();
      nodes.add(
          Json.object(
              "controller",
              ClusterSpec.nodeName(node),
              "starts",
              controllers.get(node).starts(),
              "resident_mb",
              round(most.residentMb()),
              "sockets",
              most.sockets(),
              "threads",
              most.threads()));
    }
    all.put("controllers", nodes);
    if (drill != null) {
      all.put("drill", drill.result());
    }
    if (plan.json()) {
      output.println(new String(Json.write(all), java.nio.charset.StandardCharsets.UTF_8));
      return good ? 0 : 1;
    }
    printLine(
        String.format(
            "%s after %.1f s: %d of %d jobs ended as they should, %d tasks were started, %s",
            good ? "good" : "NOT GOOD",
            clock.seconds(),
            jobs.size() - unfinished.size(),
            jobs.size(),
            environment.invariants().starts(),
            broken.isEmpty() ? "every rule was kept" : broken.size() + " times a rule was broken"));
    unfinished.stream().limit(10).forEach(line -> printLine("  " + line));
    broken.stream().limit(10).forEach(line -> printLine("  " + line));
    nodes.forEach(line -> printLine("  " + line));
    if (drill != null) {
      printLine("  drill " + drill.result());
    }
    return good ? 0 : 1;
  }

  static double round(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
