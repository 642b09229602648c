package org.quincecross.program;

import java.util.Locale;
import picocli.CommandLine;

/** Where the program starts. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        configureLogging(System.getenv("LOG_LEVEL"));
        CommandLine line = new CommandLine(new QuincecrossCommand());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println("quincecross: " + e.getMessage());
            return 2;
        });
        int status = line.execute(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Has to come before the first logger is made. */
    private static void configureLogging(String level) {
        String known = level == null ? "info" : level.toLowerCase(Locale.ROOT);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known.matches("error|warn|info|debug|trace") ? known : "info");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "false");
    }
}
