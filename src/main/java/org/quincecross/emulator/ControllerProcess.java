package org.quincecross.emulator;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * A controller that runs as its own process, as in a deployment: started, killed without warning,
 * suspended and resumed. It exits when this program exits, for whatever reason, because its
 * standard input is closed then.
 */
final class ControllerProcess {
  /** The states of the process. */
  enum State {
    DOWN,
    RUNS,
    STOPPED
  }

  /** The resources that a process holds. */
  record Footprint(double residentMb, int sockets, int threads) {
    static final Footprint NONE = new Footprint(0, 0, 0);

    Footprint max(Footprint other) {
      return new Footprint(
          Math.max(residentMb, other.residentMb),
          Math.max(sockets, other.sockets),
          Math.max(threads, other.threads));
    }
  }

  private List<String> command;
  private final Path directory;
  private final Path log;
  private State state = State.DOWN;
  private Process process;
  private Footprint peak = Footprint.NONE;
  private int starts;

  /** Runs {@code command} in {@code directory}; its output goes to {@code log}. */
  ControllerProcess(List<String> command, Path directory, Path log) {
    this.command = List.copyOf(command);
    this.directory = directory;
    this.log = log;
  }

  /** The only place where the state changes. */
  private void enter(State next) {
    state = next;
  }

  State state() {
    if (state != State.DOWN && !process.isAlive()) {
      enter(State.DOWN);
    }
    return state;
  }

  int starts() {
    return starts;
  }

  void start() throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    process = builder.start();
    starts++;
    enter(State.RUNS);
  }

  /** Kills the process as a power failure does, and starts another program in its place. */
  void replaceBy(List<String> other) throws IOException {
    kill();
    command = List.copyOf(other);
    start();
  }

  /** Kills the process as a power failure does. */
  void kill() {
    if (state() != State.DOWN) {
      process.destroyForcibly();
      process.onExit().join();
      enter(State.DOWN);
    }
  }

  /** Suspends or resumes the process. */
  void setSuspended(boolean suspended) throws IOException {
    if (state() != State.DOWN) {
      try {
        new ProcessBuilder("kill", suspended ? "-STOP" : "-CONT", Long.toString(process.pid()))
            .start()
            .waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      enter(suspended ? State.STOPPED : State.RUNS);
    }
  }

  /**
   * Samples the resources that the process holds; {@link #peak} keeps the largest value of each.
   * Does nothing where the system does not report them.
   */
  void sampleFootprint() {
    if (state() == State.DOWN) {
      return;
    }
    Path proc = Path.of("/proc", Long.toString(process.pid()));
    try (Stream<Path> files = Files.list(proc.resolve("fd"))) {
      double mb = 0;
      int threads = 0;
      for (String line : Files.readAllLines(proc.resolve("status"))) {
        if (line.startsWith("VmHWM:")) {
          mb = Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
        } else if (line.startsWith("Threads:")) {
          threads = Integer.parseInt(line.replaceAll("[^0-9]", ""));
        }
      }
      int sockets = (int) files.filter(ControllerProcess::isSocket).count();
      peak = peak.max(new Footprint(mb, sockets, threads));
    } catch (IOException | java.io.UncheckedIOException e) {
      // the process has just ended, or this system has no such files
    }
  }

  private static boolean isSocket(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
    } catch (IOException e) {
      return false;
    }
  }

  Footprint peak() {
    return peak;
  }

  /**
   * The command that runs a controller with the deployed options, from {@code run} of a deploy
   * file: its first word is replaced by the Java of this program, and its paths are relative to the
   * deploy file's repository.
   */
  static List<String> command(String run, Path settings) {
    List<String> words = new ArrayList<>(List.of(run.trim().split("\\s+")));
    words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
    words.add(settings.toString());
    words.add("--end-with-input");
    return words;
  }

  /** The same command with another features file in place of the one that it names, if any. */
  static List<String> withFeatures(List<String> command, Path features) {
    List<String> words = new ArrayList<>(command);
    int with = words.indexOf("--with");
    if (with >= 0) {
      words.subList(with, with + 2).clear();
    }
    words.addAll(words.indexOf("--config"), List.of("--with", features.toString()));
    return words;
  }

  /** The same command with plain options, for a jar without a deploy file. */
  static String plainRun(File jar) {
    return "java -Xms24m -Xmx80m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "
        + jar.getAbsolutePath()
        + " --config";
  }
}
