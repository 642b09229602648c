package org.quincecross.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.OffsetDateTime;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.quincecross.protocol.Json;

/** Requests at the turn of a month, in time, late, open and withdrawn, as a report and as CSV. */
class RequestReportTest {
  private static Map<String, Object> row(
      String kind, String state, String due, String arrived, double tookH) {
    long arrivedMs = OffsetDateTime.parse(arrived).toInstant().toEpochMilli();
    return Json.object(
        "kind",
        kind,
        "state",
        state,
        "due",
        due,
        "arrived_ms",
        arrivedMs,
        "over_ms",
        arrivedMs + (long) (tookH * 3_600_000));
  }

  @Test
  void reportsByKindAndMonth() throws IOException {
    List<Map<String, Object>> rows =
        new RequestReport(
                List.of(
                    row("police", "answered", "", "2026-11-30T23:59:59Z", 2),
                    row("police", "answered", "late", "2026-12-01T00:30:00+01:00", 40),
                    row("police", "reserved", "late", "2026-12-01T00:00:00Z", 0),
                    row("police", "arrived", "soon", "2026-12-31T23:59:59Z", 0),
                    row("carrier, \"north\"", "withdrawn", "", "2026-12-02T00:00:00Z", 1)))
            .rows();
    assertEquals(
        """
                month,kind,arrived,answered_in_time,answered_late,open,open_late,without_room,withdrawn,hours_p50,hours_p90,hours_most
                2026-11,police,2,1,1,0,0,0,0,2.0,40.04,40.04
                2026-12,"carrier, ""north\""",1,0,0,0,0,0,1,,,
                2026-12,police,2,0,0,2,1,1,0,,,
                """,
        RequestCommands.csv(rows).replace("\r\n", "\n"));
  }
}
