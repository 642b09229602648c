package org.quincecross.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;

/** Latency histograms of requests, by request type and response status. */
public final class Metrics {
  private static final long MAX_MS = 60_000;

  private final Map<String, Histogram> latencies = new TreeMap<>();

  public void record(String requestType, int status, TimeSpan latency) {
    latencies
        .computeIfAbsent(requestType + " " + status, name -> new Histogram(MAX_MS, 2))
        .recordValue(Math.min(MAX_MS, Math.max(0, latency.millis())));
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
