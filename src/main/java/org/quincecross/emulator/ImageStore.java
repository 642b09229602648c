package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The image cache of one machine. Each image is fetched once for all tasks that wait for it;
 * concurrent fetches share the bandwidth; a fetch without waiting tasks is abandoned; the most
 * recently used images stay cached.
 */
final class ImageStore {
  private static final double COMPLETE_TOLERANCE_GB = 1e-6;

  private static final class Fetch {
    private final double gb;
    private double remainingGb;
    private final List<Runnable> waiting = new ArrayList<>();

    Fetch(double gb) {
      this.gb = gb;
      this.remainingGb = gb;
    }
  }

  private final Clock clock;
  private final double cacheGb;
  private final double rate;
  private final Map<String, Double> cached = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Fetch> fetches = new LinkedHashMap<>();
  private double settledAt;
  private long planVersion;

  ImageStore(Clock clock, double cacheGb, double rate) {
    this.clock = clock;
    this.cacheGb = cacheGb;
    this.rate = rate;
  }

  double cacheGb() {
    return cacheGb;
  }

  double rate() {
    return rate;
  }

  /**
   * Runs {@code onReady} once the machine has the image; returns whether this call began a fetch.
   */
  boolean request(String image, double gb, Runnable onReady) {
    if (cached.get(image) != null || gb <= 0) {
      clock.after(0, onReady);
      return false;
    }
    settle();
    boolean begins = !fetches.containsKey(image);
    fetches.computeIfAbsent(image, i -> new Fetch(gb)).waiting.add(onReady);
    replan();
    return begins;
  }

  /** Withdraws a request made with {@link #request}. */
  void withdraw(String image, Runnable onReady) {
    Fetch fetch = fetches.get(image);
    if (fetch != null && fetch.waiting.remove(onReady) && fetch.waiting.isEmpty()) {
      settle();
      fetches.remove(image);
      replan();
    }
  }

  /** Updates the progress of the running fetches. */
  private void settle() {
    double now = clock.seconds();
    if (!fetches.isEmpty()) {
      double each = (now - settledAt) * rate / fetches.size();
      fetches.values().forEach(fetch -> fetch.remainingGb -= each);
    }
    settledAt = now;
  }

  private void replan() {
    long mine = ++planVersion;
    double least =
        fetches.values().stream().mapToDouble(fetch -> fetch.remainingGb).min().orElse(-1);
    if (!fetches.isEmpty()) {
      clock.after(
          Math.max(0, least) * fetches.size() / rate,
          () -> {
            if (planVersion == mine) {
              settle();
              finish();
              replan();
            }
          });
    }
  }

  private void finish() {
    for (Map.Entry<String, Fetch> entry : List.copyOf(fetches.entrySet())) {
      if (entry.getValue().remainingGb <= COMPLETE_TOLERANCE_GB) {
        fetches.remove(entry.getKey());
        cached.put(entry.getKey(), entry.getValue().gb);
        double sum = cached.values().stream().mapToDouble(Double::doubleValue).sum();
        var oldest = cached.entrySet().iterator();
        while (sum > cacheGb && cached.size() > 1) {
          sum -= oldest.next().getValue();
          oldest.remove();
        }
        entry.getValue().waiting.forEach(Runnable::run);
      }
    }
  }
}
