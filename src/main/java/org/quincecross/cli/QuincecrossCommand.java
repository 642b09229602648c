package org.quincecross.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command; without a subcommand, it serves. */
@Command(
    name = "quincecross",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    subcommands = {
      ClientCommand.Submit.class,
      ClientCommand.Show.class,
      ClientCommand.Cancel.class,
      ClientCommand.Inspect.class,
      ClientCommand.Set.class,
      HoldCommands.class,
      RequestCommands.class,
      ModelCommands.class,
      TryCommand.class,
      MeasureCommand.class
    },
    description = "A cluster scheduler. Without a command, runs one controller until it is killed.")
final class QuincecrossCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "the settings file (JSON) of this controller")
  private Path config;

  @Option(
      names = "--with",
      paramLabel = "FILE",
      description = "enables the features in this file (JSON), such as deploy/features.json")
  private Path featuresFile;

  /** Used by the build only, which creates the class-data archive from the classes loaded here. */
  @Option(names = "--load-classes-and-exit", hidden = true)
  private boolean loadClasses;

  @Override
  public Integer call() throws Exception {
    if (loadClasses) {
      ClassLoading.loadAll();
      return 0;
    }
    if (config == null) {
      throw new ParameterException(spec.commandLine(), "--config FILE is needed to serve");
    }
    return Main.serve(config, featuresFile);
  }
}
