package org.quincecross.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;

/** Latency histograms of requests, by request type and response status. */
public final class Metrics {
  private static final long MOST_MS = 60_000;

  private final Map<String, Histogram> latencies = new TreeMap<>();

  public void record(String what, int status, TimeSpan took) {
    latencies
        .computeIfAbsent(what + " " + status, name -> new Histogram(MOST_MS, 2))
        .recordValue(Math.min(MOST_MS, Math.max(0, took.millis())));
  }

  Map<String, Object> write() {
    Map<String, Object> out = new LinkedHashMap<>();
    latencies.forEach(
        (name, histogram) ->
            out.put(
                name,
                Json.object(
                    "count",
                    histogram.getTotalCount(),
                    "p50_ms",
                    histogram.getValueAtPercentile(50),
                    "p95_ms",
                    histogram.getValueAtPercentile(95),
                    "p99_ms",
                    histogram.getValueAtPercentile(99),
                    "max_ms",
                    histogram.getMaxValue())));
    return out;
  }
}
