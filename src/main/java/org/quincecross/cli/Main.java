package org.quincecross.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine;

/** Where the program starts. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    // The calls that the platform makes, and those that a trial makes. The command-line library is
    // compiled for such an old
    // class format that no class-data archive takes it, and loading it is half of the time that a
    // restart takes.
    int from = args.length >= 4 && args[0].equals("--with") ? 2 : 0;
    boolean ends = args.length == from + 3 && args[from + 2].equals("--end-with-input");
    if ((args.length == from + 2 || ends) && args[from].equals("--config")) {
      if (ends) {
        endWithInput();
      }
      System.exit(serve(Path.of(args[from + 1]), from == 0 ? null : Path.of(args[1])));
    }
    CommandLine line = new CommandLine(new QuincecrossCommand());
    int status = line.execute(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  /**
   * For a controller that another process has started: it ends when that process does, however that
   * ends.
   */
  private static void endWithInput() {
    Thread watcher =
        new Thread(
            () -> {
              try {
                while (System.in.read() >= 0) {
                  // nothing is said there
                }
              } catch (IOException e) {
                // the same as its end
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
   * @param with the file that switches features on, or null
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

  /** Has to come before the first logger is made. */
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
