package org.quincecross.emulator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.quincecross.accounting.JobSizeHistogram;
import org.quincecross.accounting.ServiceLevels;
import org.quincecross.admin.AccountingLog;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;

/** Many overload days, run on all processors, and the distribution of their results. */
public final class OverloadDays {
  private static final int HISTOGRAM_STEPS = 10;

  private final Measurement.Kind kind;
  private final int machines;
  private final List<OverloadDay.Result> results;

  /** Runs {@code days} days; the first one uses {@code seed}. */
  public OverloadDays(Measurement.Kind kind, int machines, long seed, int days, Features features) {
    this.kind = kind;
    this.machines = machines;
    this.results =
        LongStream.range(seed, seed + days)
            .parallel()
            .mapToObj(each -> new OverloadDay(kind, machines, each, features).play())
            .toList();
  }

  /** Whether no rule was broken. */
  public boolean isSound() {
    return results.stream().allMatch(result -> result.rulesBroken() == 0);
  }

  /** Writes the distribution of the results, and the shares by class and team. */
  public void write(PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%s, %d machines, %d days from seed %d, rules broken on %d%n%n",
        kind.toString().toLowerCase(Locale.ROOT),
        machines,
        results.size(),
        results.get(0).seed(),
        results.stream().filter(result -> result.rulesBroken() > 0).count());
    out.println(
        "| days on which the least share was | 0 to 0.1 | 0.2 | 0.3 | 0.4 | 0.5 | 0.6 | 0.7 | 0.8 | 0.9 | 1 | mean |");
    out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    writeHistogramRow(out, "in time, of any class", OverloadDay.Result::leastInTime);
    writeHistogramRow(out, "that no scheduler surpasses", OverloadDay.Result::bound);
    writeHistogramRow(
        out, "by any aim or by starts, of any class", OverloadDay.Result::leastOfClasses);
    writeHistogramRow(
        out, "by any aim or by starts, of any team", OverloadDay.Result::leastOfTeams);
    writeHistogramRow(
        out, "of any class's largest tenth or quarter, done", OverloadDay.Result::leastOfLargest);
    writeHistogramRow(
        out,
        "of any class's largest tenth or quarter, begun in time",
        OverloadDay.Result::largestInTime);
    writeHistogramRow(
        out, "of the processors beside services, used", OverloadDay.Result::usedShare);
    out.println();
    out.printf(
        Locale.ROOT,
        "longest until one of a class's largest quarter began: %.0f s; on %d days within %.0f s%n%n",
        results.stream().mapToDouble(OverloadDay.Result::longestS).max().orElse(0),
        results.stream()
            .filter(result -> result.longestS() <= JobSizeHistogram.MAX_START_DELAY_S)
            .count(),
        JobSizeHistogram.MAX_START_DELAY_S);
    if (results.size() == 1) {
      writeDay(out, results.get(0));
    } else {
      writeMeans(out);
    }
  }

  private void writeHistogramRow(
      PrintStream out, String name, ToDoubleFunction<OverloadDay.Result> share) {
    int[] days = new int[HISTOGRAM_STEPS];
    double sum = 0;
    int known = 0;
    for (OverloadDay.Result result : results) {
      double value = share.applyAsDouble(result);
      if (!Double.isNaN(value)) {
        days[
            Math.max(
                0, Math.min(HISTOGRAM_STEPS - 1, (int) Math.ceil(value * HISTOGRAM_STEPS) - 1))]++;
        sum += value;
        known++;
      }
    }
    StringBuilder line = new StringBuilder("| " + name);
    for (int count : days) {
      line.append(" | ").append(count);
    }
    out.println(line + String.format(Locale.ROOT, " | %.3f |", known == 0 ? 0 : sum / known));
  }

  /** The share of each class over all days. */
  private void writeMeans(PrintStream out) {
    Map<String, double[]> sums = new TreeMap<>();
    for (OverloadDay.Result result : results) {
      result
          .classes()
          .forEach(
              (name, served) -> {
                add(sums, name + " jobs ended", served.ended(), served.jobs());
                add(sums, name + " tasks started", served.started(), served.startable());
                served
                    .objectives()
                    .forEach(
                        met ->
                            add(
                                sums,
                                name + " " + met.objective(),
                                met.met(),
                                met.met() + met.missed()));
              });
    }
    for (OverloadDay.Result result : results) {
      result
          .largest()
          .forEach(
              (name, parts) ->
                  parts.forEach(
                      part -> {
                        String which = name + " largest " + part.fraction();
                        add(sums, which + " served", part.served(), part.jobs());
                        add(sums, which + " begun in time", part.inTime(), part.due());
                      }));
    }
    out.println("| what, of all days together | share | of |");
    out.println("| --- | --- | --- |");
    sums.forEach(
        (name, sum) ->
            out.printf(
                Locale.ROOT,
                "| %s | %.3f | %.0f |%n",
                name,
                sum[1] == 0 ? 1 : sum[0] / sum[1],
                sum[1]));
  }

  private static void add(Map<String, double[]> sums, String name, double part, double all) {
    double[] sum = sums.computeIfAbsent(name, key -> new double[2]);
    sum[0] += part;
    sum[1] += all;
  }

  private static void writeDay(PrintStream out, OverloadDay.Result day) {
    out.println("| team, class | least | jobs ended | tasks started | aims | starved, s |");
    out.println("| --- | --- | --- | --- | --- | --- |");
    day.groups()
        .forEach(
            (group, served) ->
                writeServiceLevels(out, group.team() + ", " + group.jobClass(), served));
    day.teams().forEach((team, served) -> writeServiceLevels(out, "all of " + team, served));
    out.println();
    out.println("| of a class the largest | jobs | served | begun in time | longest, s |");
    out.println("| --- | --- | --- | --- | --- |");
    day.largest()
        .forEach(
            (name, parts) ->
                parts.forEach(
                    part ->
                        out.printf(
                            Locale.ROOT,
                            "| %s, %.2f | %d | %.2f | %d of %d | %.0f |%n",
                            name,
                            part.fraction(),
                            part.jobs(),
                            part.servedShare(),
                            part.inTime(),
                            part.due(),
                            part.longestS())));
  }

  private static void writeServiceLevels(PrintStream out, String name, ServiceLevels served) {
    List<String> aims = new ArrayList<>();
    served
        .objectives()
        .forEach(
            met ->
                aims.add(met.objective() + ": " + met.met() + " of " + (met.met() + met.missed())));
    out.printf(
        Locale.ROOT,
        "| %s | %.2f | %d of %d | %d of %d | %s | %.0f |%n",
        name,
        served.lowestShare(),
        served.ended(),
        served.jobs(),
        served.started(),
        served.startable(),
        String.join("; ", aims),
        served.starvedS());
  }

  /** The same as JSON: a list of days. */
  public void writeJson(PrintStream out) {
    List<Object> days = new ArrayList<>();
    for (OverloadDay.Result result : results) {
      days.add(
          Json.object(
              "seed",
              result.seed(),
              "bound",
              Double.isNaN(result.bound()) ? null : result.bound(),
              "in_time",
              result.leastInTime(),
              "classes",
              servedAsJson(result.classes()),
              "largest",
              AccountingLog.writeLargest(result.largest()),
              "teams",
              servedAsJson(result.teams()),
              "rules_broken",
              result.rulesBroken()));
    }
    out.println(new String(Json.write(days), java.nio.charset.StandardCharsets.UTF_8));
  }

  /** The share of each class or team, as JSON. */
  static Map<String, Object> servedAsJson(Map<String, ServiceLevels> all) {
    Map<String, Object> written = Json.object();
    all.forEach(
        (name, served) -> {
          Map<String, Object> aims = Json.object();
          served.objectives().forEach(met -> aims.put(met.objective(), met.share()));
          written.put(
              name,
              Json.object(
                  "least",
                  served.lowestShare(),
                  "jobs",
                  served.jobs(),
                  "ended",
                  served.ended(),
                  "startable",
                  served.startable(),
                  "started",
                  served.started(),
                  "starved_s",
                  served.starvedS(),
                  "aims",
                  aims));
        });
    return written;
  }
}
