package org.quincecross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.protocol.Json;
import picocli.CommandLine;

class HoldCommandsTest {
  private static final long NOON = 1_796_212_800_000L; // 2026-12-02T12:00Z

  /**
   * Errors in the command line are reported in one line, and no request is sent: there is no server
   * in this test.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "hold open ref-1 cdr/2026-13 | 'cdr/2026-13' has a month or a day that there is not",
        "hold open ref-1 cdr/2026-03..2026-02 | ends before it begins",
        "hold open ref-1 cdr --from tomorrow | --from: 'tomorrow' is no day such as 2026-12-02",
        "hold open ref/1 cdr | 'ref/1' is no name of a holds",
        "hold close ref-1 | Missing required option: '--opening=N'",
        "hold close ref-1 --opening two | 'two' is not an int",
        "hold sweeps lane | name the series that jobs of lane may access",
        "hold claim job-x file.csv | 'job-x' is no id of a job",
        "hold claim job-1 no-such-file.csv | there is no file no-such-file.csv",
        "hold calendar --month 2026-13 | --month: '2026-13' is no month",
        "hold | missing command: one of open, close",
      })
  void invalidCommandLineIsReportedWithoutRequest(String line, String expected) {
    StringWriter err = new StringWriter();
    int status =
        new CommandLine(new QuincecrossCommand())
            .setErr(new PrintWriter(err))
            .execute(line.trim().split(" "));
    assertEquals(2, status, err.toString());
    assertTrue(err.toString().contains(expected.trim()), err.toString());
  }

  private static Map<String, Object> line(long atMs, String event, Object... details) {
    return Json.object(
        "revision",
        1L,
        "id",
        "ref-1",
        "change",
        1L,
        "at_ms",
        atMs,
        "by",
        "clerk",
        "event",
        event,
        "details",
        Json.object(details));
  }

  @Test
  void calendarListsEachDayWithAHoldInForce() {
    long day = 86_400_000L;
    List<Map<String, Object>> trail = new ArrayList<>();
    trail.add(
        line(
            NOON,
            "opened",
            "opening",
            1L,
            "records",
            List.of("cdr/2026-03"),
            "from_ms",
            NOON + day,
            "review_ms",
            NOON + 2 * day));
    trail.add(line(NOON + day, "due", "opening", 1L));
    trail.add(
        line(
            NOON + day + 4000, "pinned", "opening", 1L, "proven_at", 7L, "kept_back", "job-1/0-5"));
    trail.add(
        line(
            NOON + 2 * day, "keeps back", "opening", 1L, "tasks", "job-1/0-5 job-2/0", "what", 1L));
    trail.add(line(NOON + 3 * day, "closed", "opening", 1L, "was", "PINNED"));
    List<Map<String, Object>> rows =
        new HoldCalendar(trail).rows(LocalDate.parse("2026-12-01"), LocalDate.parse("2027-01-01"));
    assertEquals(
        List.of("2026-12-02", "2026-12-03", "2026-12-04", "2026-12-05"),
        rows.stream().map(row -> row.get("day")).toList());
    assertEquals(
        List.of(
            "opened 12:00",
            "in force 12:00, pinned 12:00:04",
            "to be reviewed 12:00",
            "closed 12:00"),
        rows.stream().map(row -> row.get("what")).toList());
    assertEquals(
        List.of("", "job-1/0-5", "job-1/0-5 job-2/0", "job-1/0-5 job-2/0"),
        rows.stream().map(row -> row.get("keeps_back")).toList());
  }
}
