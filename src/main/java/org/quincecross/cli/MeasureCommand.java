package org.quincecross.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.text.ParseException;
import java.util.Locale;
import java.util.concurrent.Callable;
import jdk.jfr.Configuration;
import jdk.jfr.Recording;
import org.quincecross.emulator.Measurement;
import org.quincecross.emulator.OverloadDays;
import org.quincecross.emulator.RequestDay;
import org.quincecross.protocol.Features;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures the cost of a simulated day of a cluster for its controllers. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description =
        "Simulates a day of a whole cluster in virtual time, with a restart of all controllers after 150 s, and reports its "
            + "cost to them: processor time and allocated bytes by type of event.")
final class MeasureCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--site",
      paramLabel = "WHAT",
      defaultValue = "mixed",
      description =
          "fleet: one type of machine, three zones; mixed: three types, two zones, gangs (default: ${DEFAULT-VALUE})")
  private String site;

  @Option(
      names = "--machines",
      paramLabel = "N",
      defaultValue = "690",
      description = "machines that the cloud has (default: ${DEFAULT-VALUE})")
  private int machines;

  @Option(
      names = "--for",
      paramLabel = "TIME",
      defaultValue = "250s",
      converter = TryCommand.Seconds.class,
      description = "how long the day is, such as 250s (default: ${DEFAULT-VALUE})")
  private double seconds;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "seed of the day (default: ${DEFAULT-VALUE})")
  private long seed;

  @Option(
      names = "--day",
      paramLabel = "WHAT",
      defaultValue = "restart",
      description =
          "restart: cost of a restart of all controllers; overload: which jobs are served when there is more work than can be "
              + "done in time; requests: cost of capacity reserved for requests (default: ${DEFAULT-VALUE})")
  private String day;

  @Option(
      names = "--days",
      paramLabel = "N",
      defaultValue = "1",
      description = "overload: number of days, with consecutive seeds (default: ${DEFAULT-VALUE})")
  private int days;

  @Option(
      names = "--with",
      paramLabel = "FILE",
      description = "enables the features in this file (JSON) on all controllers")
  private Path featuresFile;

  @Option(
      names = "--output",
      paramLabel = "FORM",
      defaultValue = "text",
      description = "overload: text or json (default: ${DEFAULT-VALUE})")
  private String output;

  @Option(
      names = "--recording",
      paramLabel = "FILE",
      description = "file for a JDK Flight Recorder recording")
  private Path recording;

  @Override
  public Integer call() throws IOException, ParseException {
    if (machines < 30 || machines > 20_000) {
      throw new ParameterException(
          spec.commandLine(), "--machines: " + machines + " is not from 30 to 20000");
    }
    Measurement.Kind kind =
        switch (site.toLowerCase(Locale.ROOT)) {
          case "fleet" -> Measurement.Kind.FLEET;
          case "mixed" -> Measurement.Kind.MIXED;
          default ->
              throw new ParameterException(
                  spec.commandLine(), "--site: '" + site + "' is neither fleet nor mixed");
        };
    if (!output.equals("text") && !output.equals("json")) {
      throw new ParameterException(
          spec.commandLine(), "--output: '" + output + "' is neither text nor json");
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    Features features = SettingsFile.features(featuresFile);
    return switch (day) {
      case "restart" -> restart(new Measurement(kind, machines, seed, features));
      case "overload" -> overload(kind, features);
      case "requests" ->
          RequestDay.play(machines, seed, new double[] {0.02, 0.05, 0.1}, System.out) ? 0 : 1;
      default ->
          throw new ParameterException(
              spec.commandLine(), "--day: '" + day + "' is none of restart, overload and requests");
    };
  }

  private int overload(Measurement.Kind kind, Features features) {
    if (days < 1 || days > 10_000) {
      throw new ParameterException(
          spec.commandLine(), "--days: " + days + " is not from 1 to 10000");
    }
    OverloadDays played = new OverloadDays(kind, machines, seed, days, features);
    if (output.equals("json")) {
      played.writeJson(System.out);
    } else {
      played.write(System.out);
    }
    return played.isSound() ? 0 : 1;
  }

  private int restart(Measurement day) throws IOException, ParseException {
    if (recording == null) {
      day.playUntil(seconds);
    } else {
      try (Recording flight = new Recording(Configuration.getConfiguration("profile"))) {
        flight.start();
        day.playUntil(seconds);
        flight.stop();
        flight.dump(recording);
      }
    }
    day.write(System.out);
    return day.isSound() ? 0 : 1;
  }
}
