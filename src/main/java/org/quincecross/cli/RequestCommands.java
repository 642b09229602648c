package org.quincecross.cli;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.quincecross.protocol.Json;
import org.quincecross.reservation.RequestKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands on requests with a due time. */
@Command(
    name = "request",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      RequestCommands.Arrive.class,
      RequestCommands.Answer.class,
      RequestCommands.Withdraw.class,
      RequestCommands.Show.class,
      RequestCommands.ListAll.class,
      RequestCommands.Report.class,
      RequestCommands.Trail.class
    },
    description =
        "Records requests of police, carriers and others, and reserves capacity until they are answered.")
final class RequestCommands implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(),
        "missing command: one of arrive, answer, withdraw, show, list, report and trail");
  }

  /** Base of the commands on requests. */
  private abstract static class RequestsCommand extends ReplicatedRecordCommand {
    @Override
    String kind() {
      return RequestKind.NAME;
    }

    /** Parses a time of day such as 2026-12-02T10:00Z; returns ms. */
    final long time(String option, String text) {
      try {
        return text.equals("now")
            ? System.currentTimeMillis()
            : OffsetDateTime.parse(text).toInstant().toEpochMilli();
      } catch (DateTimeParseException e) {
        throw invalidUsage(
            option
                + ": '"
                + text
                + "' is no time such as 2026-12-02T10:00Z or 2026-12-02T11:00+01:00, nor 'now'");
      }
    }

    /** Parses a time of day, or a time span such as 72h or 14d after {@code from}. */
    final long timeOrSpan(String option, String text, long from) {
      if (!text.matches("[0-9]{1,5}[mhd]")) {
        return time(option, text);
      }
      long count = Long.parseLong(text.substring(0, text.length() - 1));
      return from
          + switch (text.charAt(text.length() - 1)) {
            case 'm' -> Duration.ofMinutes(count).toMillis();
            case 'h' -> Duration.ofHours(count).toMillis();
            default -> Duration.ofDays(count).toMillis();
          };
    }
  }

  @Command(
      name = "arrive",
      mixinStandardHelpOptions = true,
      sortOptions = false,
      description = "Records a request that has arrived, and reserves capacity for it.")
  static final class Arrive extends RequestsCommand {
    @Parameters(paramLabel = "REFERENCE", description = "the requester's reference")
    private String id;

    @Option(
        names = "--kind",
        required = true,
        paramLabel = "WORD",
        description = "who asks, such as police or carrier")
    private String kind;

    @Option(
        names = "--arrived",
        paramLabel = "TIME",
        defaultValue = "now",
        description = "when it arrived, such as 2026-12-02T10:00Z (default: now)")
    private String arrived;

    @Option(
        names = "--due",
        required = true,
        paramLabel = "TIME",
        description = "when its answer is due, or the time until then: 90m, 72h, 14d")
    private String due;

    @Option(
        names = "--lane",
        required = true,
        paramLabel = "LANE",
        description = "the lane whose tasks need capacity")
    private String jobClass;

    @Option(
        names = "--team",
        required = true,
        paramLabel = "TEAM",
        description = "the team whose limit and guarantee it counts against")
    private String team;

    @Option(
        names = "--tasks",
        required = true,
        paramLabel = "N",
        description = "how many tasks, up to " + RequestKind.MAX_TASKS)
    private int tasks;

    @Option(
        names = "--cpus",
        required = true,
        paramLabel = "X",
        description = "processors of a task")
    private double cpus;

    @Option(
        names = "--gpus",
        paramLabel = "X",
        defaultValue = "0",
        description = "GPUs of a task (default: 0)")
    private double gpus;

    @Option(
        names = "--memory-gb",
        required = true,
        paramLabel = "X",
        description = "memory of a task")
    private double memoryGb;

    @Option(
        names = "--zones",
        paramLabel = "ZONE",
        split = ",",
        description = "allowed zones (default: any)")
    private List<String> zones = new ArrayList<>();

    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      long arrivedMs = time("--arrived", arrived);
      long dueMs = timeOrSpan("--due", due, arrivedMs);
      if (dueMs <= arrivedMs) {
        throw invalidUsage(
            "--due: "
                + Instant.ofEpochMilli(dueMs)
                + " is not after "
                + Instant.ofEpochMilli(arrivedMs)
                + ", when it arrived");
      }
      if (tasks < 1 || tasks > RequestKind.MAX_TASKS) {
        throw invalidUsage("--tasks: " + tasks + " is not from 1 to " + RequestKind.MAX_TASKS);
      }
      if (!(cpus > 0) || !(gpus >= 0) || !(memoryGb >= 0)) {
        throw invalidUsage("--cpus is to be above 0, --gpus and --memory-gb at least 0");
      }
      int status =
          change(
              id,
              request,
              Json.object(
                  "do",
                  "arrive",
                  "kind",
                  kind,
                  "arrived_ms",
                  arrivedMs,
                  "due_ms",
                  dueMs,
                  "lane",
                  jobClass,
                  "team",
                  team,
                  "tasks",
                  tasks,
                  "cpus",
                  cpus,
                  "gpus",
                  gpus,
                  "memory_gb",
                  memoryGb,
                  "zones",
                  zones));
      return status == 0 ? show(id) : status; // also shows whether capacity is reserved
    }
  }

  @Command(
      name = "answer",
      mixinStandardHelpOptions = true,
      description = "Records that the answer was delivered, and releases its capacity.")
  static final class Answer extends RequestsCommand {
    @Parameters(paramLabel = "REFERENCE", description = "the request")
    private String id;

    @Option(
        names = "--delivered",
        paramLabel = "TIME",
        description = "when it was delivered (default: now)")
    private String delivered;

    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      Map<String, Object> command = Json.object("do", "answer");
      if (delivered != null) {
        command.put("delivered_ms", time("--delivered", delivered));
      }
      return change(id, request, command);
    }
  }

  @Command(
      name = "withdraw",
      mixinStandardHelpOptions = true,
      description = "Records that no answer is needed any more, and releases its capacity.")
  static final class Withdraw extends RequestsCommand {
    @Parameters(paramLabel = "REFERENCE", description = "the request")
    private String id;

    @Option(
        names = "--why",
        paramLabel = "TEXT",
        defaultValue = "",
        description = "reason for the audit trail")
    private String why;

    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      return change(id, request, Json.object("do", "withdraw", "why", why));
    }
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Shows a request, and its reserved capacity or why it has none.")
  static final class Show extends RequestsCommand {
    @Parameters(paramLabel = "REFERENCE", description = "the request")
    private String id;

    @Override
    public Integer call() {
      return show(id);
    }
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists requests, earliest due first.")
  static final class ListAll extends RequestsCommand {
    @Option(names = "--open", description = "only open requests")
    private boolean open;

    @Option(names = "--without-room", description = "only open requests without reserved capacity")
    private boolean withoutCapacity;

    @Option(
        names = "--due",
        paramLabel = "HOW",
        description = "only requests with this due status: soon, uncertain or late")
    private String due;

    @Override
    public Integer call() {
      if (due != null && !List.of("ahead", "soon", "uncertain", "late").contains(due)) {
        throw invalidUsage("--due: '" + due + "' is none of ahead, soon, uncertain and late");
      }
      List<Map<String, Object>> rows = list();
      if (rows == null) {
        return 1;
      }
      rows.removeIf(
          row ->
              ((open || withoutCapacity)
                      && !List.of("arrived", "reserved").contains(row.get("state")))
                  || (withoutCapacity && !"arrived".equals(row.get("state")))
                  || (due != null && !due.equals(row.get("due"))));
      rows.sort(
          (one, other) ->
              Long.compare(
                  ((Number) one.get("due_ms")).longValue(),
                  ((Number) other.get("due_ms")).longValue()));
      return print(rows);
    }
  }

  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      sortOptions = false,
      description = "Summarises requests by kind and month of arrival (UTC).")
  static final class Report extends RequestsCommand {
    @Option(names = "--csv", description = "as CSV, regardless of --output")
    private boolean csv;

    @Override
    public Integer call() throws IOException {
      List<Map<String, Object>> requests = list();
      if (requests == null) {
        return 1;
      }
      List<Map<String, Object>> rows = new RequestReport(requests).rows();
      if (!csv) {
        return print(rows);
      }
      print(csv(rows));
      return 0;
    }
  }

  @Command(
      name = "trail",
      mixinStandardHelpOptions = true,
      description = "Shows the audit trail of the requests.")
  static final class Trail extends ReplicatedRecordCommand.ShowTrail {
    @Override
    String kind() {
      return RequestKind.NAME;
    }
  }

  /** Formats rows that all have the same columns. */
  static String csv(List<Map<String, Object>> rows) throws IOException {
    StringBuilder out = new StringBuilder();
    try (CSVPrinter printer = new CSVPrinter(out, CSVFormat.RFC4180)) {
      if (!rows.isEmpty()) {
        printer.printRecord(
            rows.get(0).keySet().stream().map(name -> name.toLowerCase(Locale.ROOT)).toList());
      }
      for (Map<String, Object> row : rows) {
        printer.printRecord(row.values());
      }
    }
    return out.toString();
  }
}
