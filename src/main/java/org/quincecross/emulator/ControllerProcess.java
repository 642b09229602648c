package org.quincecross.emulator;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * A controller as a process of its own, as it is deployed: started, killed without warning, stopped
 * and continued. It ends by itself when this program does, however that ends, for its standard
 * input ends with it.
 */
final class ControllerProcess {
  /** The states of the process. */
  enum State {
    DOWN,
    RUNS,
    STOPPED
  }

  /** What a process holds. */
  record Footprint(double residentMb, int sockets, int threads) {
    static final Footprint NONE = new Footprint(0, 0, 0);

    Footprint most(Footprint other) {
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
  private Footprint most = Footprint.NONE;
  private int starts;

  /** {@code command} is run in {@code directory}; what it writes goes to {@code log}. */
  ControllerProcess(List<String> command, Path directory, Path log) {
    this.command = List.copyOf(command);
    this.directory = directory;
    this.log = log;
  }

  /** The one place where the state changes. */
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

  /** Ends it as a power cut does, and starts another program in its place. */
  void replaceBy(List<String> other) throws IOException {
    kill();
    command = List.copyOf(other);
    start();
  }

  /** Ends it as a power cut does. */
  void kill() {
    if (state() != State.DOWN) {
      process.destroyForcibly();
      process.onExit().join();
      enter(State.DOWN);
    }
  }

  /** Has it stand still, or go on. */
  void freeze(boolean still) throws IOException {
    if (state() != State.DOWN) {
      try {
        new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid()))
            .start()
            .waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      enter(still ? State.STOPPED : State.RUNS);
    }
  }

  /**
   * Looks at what it holds now; {@link #most} remembers the most of each. Nothing where the system
   * does not tell.
   */
  void look() {
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
      most = most.most(new Footprint(mb, sockets, threads));
    } catch (IOException | java.io.UncheckedIOException e) {
      // it has just ended, or this system has no such files
    }
  }

  private static boolean isSocket(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
    } catch (IOException e) {
      return false;
    }
  }

  Footprint most() {
    return most;
  }

  /**
   * The command that runs a controller with the deployed options, from {@code run} of a deploy
   * file: its first word is replaced by this program's own Java, and paths in it hold in the deploy
   * file's repository.
   */
  static List<String> command(String run, Path settings) {
    List<String> words = new ArrayList<>(List.of(run.trim().split("\\s+")));
    words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
    words.add(settings.toString());
    words.add("--end-with-input");
    return words;
  }

  /** The same command with another file of features in place of the one that it has, if any. */
  static List<String> withFeatures(List<String> command, Path features) {
    List<String> words = new ArrayList<>(command);
    int with = words.indexOf("--with");
    if (with >= 0) {
      words.subList(with, with + 2).clear();
    }
    words.addAll(words.indexOf("--config"), List.of("--with", features.toString()));
    return words;
  }

  /** The same with plain options, for a jar that has no deploy file beside it. */
  static String plainRun(File jar) {
    return "java -Xms24m -Xmx80m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar "
        + jar.getAbsolutePath()
        + " --config";
  }
}
