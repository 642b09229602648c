package org.quincecross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Errors in the command line are reported in one line that names them, and no request is sent. */
class ModelCommandsTest {
  @ParameterizedTest
  @CsvSource({
    "model, missing command: one of define",
    "model define m, --job",
    "model define m --job 12, '12' is no job id",
    "model define m --job job-1 --least 0, --least is at least 1",
    "model define m --job job-1 --least 3 --most 2, --most at least --least",
    "model define m --job job-1 --idle-s 0, --idle-s are at least 1",
    "model define m --job job-1 --per-replica x, per-replica",
    "model wake, MODEL",
    "model wake a/b, no name",
    "model load m --from g --in-flight -1, --in-flight is at least 0",
    "model show m --output xml, xml"
  })
  void invalidCommandLineIsReportedWithoutRequest(String line, String expected) {
    CommandLine command = new CommandLine(new QuincecrossCommand());
    StringWriter err = new StringWriter();
    command.setErr(new PrintWriter(err));
    command.setOut(new PrintWriter(new StringWriter()));
    assertEquals(2, command.execute(line.split(" ")));
    assertTrue(err.toString().contains(expected), err.toString());
  }
}
