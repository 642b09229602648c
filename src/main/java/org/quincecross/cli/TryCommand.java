package org.quincecross.cli;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.quincecross.emulator.Drill;
import org.quincecross.emulator.LocalCluster;
import org.quincecross.model.Endpoint;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;

/** Runs a whole site on this machine. */
@Command(
    name = "try",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description =
        "Runs a whole site on this machine, on loopback: three controllers as processes of their own, stand-ins for the "
            + "state service, the cloud, the workers and the users, and sample jobs. Ends when all jobs have ended, after --for, or "
            + "with Ctrl-C, and leaves nothing behind. Exit status 0: every job ended as it should and no rule was broken.")
final class TryCommand implements Callable<Integer> {
  private static final int MAX_MACHINES = 1000;

  /** Parses a time such as 90, 90s or 5m, in seconds. */
  static final class Seconds implements ITypeConverter<Double> {
    private static final Pattern FORM = Pattern.compile("([0-9]{1,6}(?:\\.[0-9]+)?)([sm]?)");

    @Override
    public Double convert(String text) {
      Matcher match = FORM.matcher(text);
      if (!match.matches()) {
        throw new TypeConversionException("'" + text + "' is not a time such as 90s or 5m");
      }
      return Double.parseDouble(match.group(1)) * (match.group(2).equals("m") ? 60 : 1);
    }
  }

  @Spec private CommandSpec spec;

  @Option(
      names = "--machines",
      paramLabel = "N",
      defaultValue = "24",
      description = "machines that the cloud has (default: ${DEFAULT-VALUE})")
  private int machines;

  @Option(
      names = "--jobs",
      paramLabel = "FILE",
      description = "the jobs to submit, as TOML (default: built-in samples)")
  private Path jobs;

  @Option(
      names = "--for",
      paramLabel = "TIME",
      defaultValue = "180s",
      converter = Seconds.class,
      description =
          "ends after this time at the latest, such as 90s or 5m (default: ${DEFAULT-VALUE})")
  private double forS;

  @Option(
      names = "--drill",
      paramLabel = "WHAT",
      description = "injects a failure: restart, zone, state, workers, deaf, roll, hold or model")
  private String drill;

  @Option(
      names = "--from",
      paramLabel = "JAR",
      description = "with --drill roll: jar of the build to upgrade from")
  private File from;

  @Option(
      names = "--listen",
      paramLabel = "HOST:PORT",
      defaultValue = "127.0.0.1:8080",
      description = "where users reach the site, a loopback address (default: ${DEFAULT-VALUE})")
  private String listen;

  @Option(
      names = "--base-port",
      paramLabel = "PORT",
      defaultValue = "17400",
      description = "everything else listens from this port on (default: ${DEFAULT-VALUE})")
  private int basePort;

  @Option(
      names = "--output",
      paramLabel = "FORM",
      defaultValue = "text",
      description = "text or json (default: ${DEFAULT-VALUE})")
  private String output;

  @Override
  // The build targets Java 17, where the console is null without a terminal.
  @SuppressWarnings("SystemConsoleNull")
  public Integer call() {
    Endpoint front = Endpoint.parse(listen);
    if (front == null) {
      throw invalidUsage("--listen: '" + listen + "' is not an IPv4 address and a port");
    }
    if (!front.host().startsWith("127.")) {
      throw invalidUsage(
          "--listen: "
              + front.host()
              + " is not a loopback address; a trial is for this machine alone");
    }
    if (machines < 3 || machines > MAX_MACHINES) {
      throw invalidUsage("--machines: " + machines + " is not from 3 to " + MAX_MACHINES);
    }
    if (basePort < 1024 || basePort + 200 + 2 * machines > 65_535) {
      throw invalidUsage(
          "--base-port: "
              + basePort
              + " leaves no room for the ports of "
              + machines
              + " machines");
    }
    if (from != null && kind() != Drill.Kind.ROLL) {
      throw invalidUsage("--from goes with --drill roll");
    }
    if (from != null && !from.isFile()) {
      throw invalidUsage("--from: no file " + from);
    }
    if (!output.equals("text") && !output.equals("json")) {
      throw invalidUsage("--output: '" + output + "' is neither text nor json");
    }
    try {
      File jar =
          new File(TryCommand.class.getProtectionDomain().getCodeSource().getLocation().getPath());
      Path home = jar.getAbsoluteFile().toPath().getParent().getParent();
      String run =
          jar.isDirectory() ? classesRun() : deployedRun(home.resolve("deploy/service.toml"));
      LocalCluster.Plan plan =
          new LocalCluster.Plan(
              machines,
              jobs == null ? null : Files.readString(jobs, StandardCharsets.UTF_8),
              forS,
              front,
              basePort,
              kind(),
              from,
              run,
              jar,
              home,
              output.equals("json"),
              output.equals("text") && System.console() != null);
      return new LocalCluster(plan, System.out).run();
    } catch (IOException e) {
      spec.commandLine()
          .getErr()
          .println(
              "quincecross: "
                  + (e instanceof java.nio.file.NoSuchFileException ? "no file " : "")
                  + e.getMessage());
      return 2;
    }
  }

  private ParameterException invalidUsage(String message) {
    return new ParameterException(spec.commandLine(), message);
  }

  private Drill.Kind kind() {
    if (drill == null) {
      return null;
    }
    for (Drill.Kind kind : Drill.Kind.values()) {
      if (kind.toString().equals(drill.toUpperCase(Locale.ROOT))) {
        return kind;
      }
    }
    throw invalidUsage(
        "--drill: '"
            + drill
            + "' is not one of restart, zone, state, workers, deaf, roll, hold, model");
  }

  /** The command for a program that was not started from its jar, which may not be built yet. */
  private static String classesRun() {
    return "java -Xms24m -Xmx80m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "
        + System.getProperty("java.class.path")
        + " "
        + Main.class.getName()
        + " --config";
  }

  /** The run command of the deploy file beside the jar, or null if there is none. */
  private static String deployedRun(Path file) throws IOException {
    if (!Files.exists(file)) {
      return null;
    }
    TomlParseResult deploy = Toml.parse(file);
    if (deploy.hasErrors() || !deploy.isString("run")) {
      throw new IOException(file + " has no text 'run'");
    }
    return deploy.getString("run");
  }
}
