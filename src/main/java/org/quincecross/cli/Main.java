package org.quincecross.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine;

/** The entry point of the program. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    // Serves the calls of the platform and of local trials without the command-line library. That
    // library has an old class file format that class-data archives exclude, and loading it takes
    // half of the time of a restart.
    int from = args.length >= 4 && args[0].equals("--with") ? 2 : 0;
    boolean endsWithInput = args.length == from + 3 && args[from + 2].equals("--end-with-input");
    if ((args.length == from + 2 || endsWithInput) && args[from].equals("--config")) {
      if (endsWithInput) {
        haltAtEndOfInput();
      }
      System.exit(serve(Path.of(args[from + 1]), from == 0 ? null : Path.of(args[1])));
    }
    CommandLine line = new CommandLine(new QuincecrossCommand());
    int status = line.execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  /** For a controller started by another process: ends when that process ends, in whatever way. */
  private static void haltAtEndOfInput() {
    Thread watcher =
        new Thread(
            () -> {
              try {
                while (System.in.read() >= 0) {
                  // the content is ignored
                }
              } catch (IOException e) {
                // equivalent to the end of the input
              }
              Runtime.getRuntime().halt(0);
            },
            "input");
    watcher.setDaemon(true);
    watcher.start();
  }

  /**
   * Serves until the process is killed; returns the exit status if it cannot.
   *
   * @param with the file that enables features, or null
   */
  static int serve(Path config, Path with) {
    try {
      new Server(SettingsFile.read(config), SettingsFile.features(with)).run();
      return 0;
    } catch (IOException | IllegalArgumentException e) {
      System.err.println("quincecross: " + e.getMessage());
      return 2;
    }
  }

  /** Must be called before the first logger is created. */
  private static void configureLogging(String level) {
    String known = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    System.setProperty(
        "org.slf4j.simpleLogger.defaultLogLevel",
        known.matches("error|warn|info|debug|trace") ? known : "info");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "false");
  }
}
