package org.quincecross.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.OffsetDateTime;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;
import org.quincecross.legalhold.ClaimKind;
import org.quincecross.legalhold.LegalHoldKind;
import org.quincecross.legalhold.RecordClaim;
import org.quincecross.legalhold.RecordSelector;
import org.quincecross.legalhold.SweepClassKind;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command for legal holds. */
@Command(
    name = "hold",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      HoldCommands.Open.class,
      HoldCommands.Close.class,
      HoldCommands.Review.class,
      HoldCommands.Show.class,
      HoldCommands.ListAll.class,
      HoldCommands.Kept.class,
      HoldCommands.Calendar.class,
      HoldCommands.Trail.class,
      HoldCommands.Claim.class,
      HoldCommands.Claims.class,
      HoldCommands.Sweeps.class
    },
    description =
        "Pins records under a magistrate's request, so that no sweep accesses them until the request is closed.")
final class HoldCommands implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(),
        "missing command: one of open, close, review, show, list, kept, calendar, trail, claim, claims and sweeps");
  }

  private abstract static class HoldCommand extends ReplicatedRecordCommand {
    @Override
    String kind() {
      return LegalHoldKind.NAME;
    }

    /** Parses records, before any request is sent. */
    final List<Object> records(List<String> texts) {
      List<Object> records = new ArrayList<>();
      for (String text : texts) {
        try {
          records.add(RecordSelector.parse(text).toString());
        } catch (IllegalArgumentException e) {
          throw invalidUsage(e.getMessage());
        }
      }
      return records;
    }

    /**
     * Parses a day such as 2026-12-02 (its start, UTC) or a time such as 2026-12-02T10:00Z; returns
     * ms, or 0 for null.
     */
    final long time(String option, String text) {
      if (text == null) {
        return 0;
      }
      try {
        return text.length() == 10
            ? LocalDate.parse(text).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli()
            : OffsetDateTime.parse(text).toInstant().toEpochMilli();
      } catch (DateTimeException e) {
        throw invalidUsage(
            option
                + ": '"
                + text
                + "' is no day such as 2026-12-02, and no time such as 2026-12-02T10:00Z");
      }
    }
  }

  @Command(name = "open", mixinStandardHelpOptions = true, description = "Opens a hold.")
  static final class Open extends HoldCommand {
    @Parameters(
        index = "0",
        paramLabel = "REFERENCE",
        description = "the reference of the magistrate's request")
    private String reference;

    @Parameters(
        index = "1..*",
        arity = "1..*",
        paramLabel = "RECORDS",
        description =
            "SERIES, SERIES/2026-03, SERIES/2026-01..2026-03, SERIES/2026-03-15 or SERIES#KEY")
    private List<String> records;

    @Option(
        names = "--from",
        paramLabel = "TIME",
        description = "from when on, a day or a time (default: now)")
    private String from;

    @Option(
        names = "--review",
        paramLabel = "TIME",
        description = "review date, as a reminder; the hold does not end then")
    private String review;

    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      Map<String, Object> command =
          Json.object(
              "do",
              "open",
              "records",
              records(records),
              "from_ms",
              time("--from", from),
              "review_ms",
              time("--review", review));
      return change(reference, request, command);
    }
  }

  @Command(
      name = "close",
      mixinStandardHelpOptions = true,
      description = "Closes one opening of a hold.")
  static final class Close extends HoldCommand {
    @Parameters(paramLabel = "REFERENCE", description = "the reference of the magistrate's request")
    private String reference;

    @Option(
        names = "--opening",
        required = true,
        paramLabel = "N",
        description = "number of the opening, as shown by 'hold show'; a later opening stays open")
    private int opening;

    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      return change(reference, request, Json.object("do", "close", "opening", opening));
    }
  }

  @Command(
      name = "review",
      mixinStandardHelpOptions = true,
      description = "Sets the review date of a hold.")
  static final class Review extends HoldCommand {
    @Parameters(paramLabel = "REFERENCE", description = "the reference of the magistrate's request")
    private String reference;

    @Option(names = "--opening", required = true, paramLabel = "N", description = "which opening")
    private int opening;

    @Option(names = "--at", required = true, paramLabel = "TIME", description = "a day or a time")
    private String at;

    @Mixin private ChangeOptions request;

    @Override
    public Integer call() {
      return change(
          reference,
          request,
          Json.object("do", "review", "opening", opening, "review_ms", time("--at", at)));
    }
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Shows a hold. PINNED: no task that accesses its records runs or can start.")
  static final class Show extends ReplicatedRecordCommand.ShowRecord {
    @Override
    String kind() {
      return LegalHoldKind.NAME;
    }
  }

  @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists all holds.")
  static final class ListAll extends ReplicatedRecordCommand.ListRecords {
    @Override
    String kind() {
      return LegalHoldKind.NAME;
    }
  }

  @Command(
      name = "kept",
      mixinStandardHelpOptions = true,
      description = "Lists the tasks that each hold in effect blocks now.")
  static final class Kept extends ReplicatedRecordCommand.ListRecords {
    @Override
    String kind() {
      return "kept";
    }
  }

  @Command(
      name = "claims",
      mixinStandardHelpOptions = true,
      description = "Lists the recorded claims: which tasks may access which records.")
  static final class Claims extends ReplicatedRecordCommand.ListRecords {
    @Override
    String kind() {
      return ClaimKind.NAME;
    }
  }

  @Command(
      name = "calendar",
      mixinStandardHelpOptions = true,
      description = "Shows the holds by day (UTC), with the tasks that each blocks.")
  static final class Calendar extends HoldCommand {
    @Option(
        names = "--month",
        paramLabel = "YYYY-MM",
        description = "all days of a month (default: this month)")
    private String month;

    @Option(names = "--day", paramLabel = "YYYY-MM-DD", description = "one day")
    private String day;

    @Override
    public Integer call() {
      LocalDate first;
      LocalDate end;
      try {
        if (day != null) {
          first = LocalDate.parse(day);
          end = first.plusDays(1);
        } else {
          YearMonth all = month == null ? YearMonth.now(ZoneOffset.UTC) : YearMonth.parse(month);
          first = all.atDay(1);
          end = all.plusMonths(1).atDay(1);
        }
      } catch (DateTimeException e) {
        throw invalidUsage(
            day != null
                ? "--day: '" + day + "' is no day such as 2026-12-02"
                : "--month: '" + month + "' is no month such as 2026-12");
      }
      List<Map<String, Object>> trail = trail(0);
      return trail == null ? 1 : print(new HoldCalendar(trail).rows(first, end));
    }
  }

  @Command(
      name = "trail",
      mixinStandardHelpOptions = true,
      description = "Shows the audit trail of all holds, each entry with its revision.")
  static final class Trail extends HoldCommand {
    @Option(
        names = "--since",
        paramLabel = "REVISION",
        defaultValue = "0",
        description = "only what came after this revision")
    private long since;

    @Option(names = "--csv", description = "as CSV (RFC 4180), for export")
    private boolean csv;

    @Override
    public Integer call() throws IOException {
      List<Map<String, Object>> lines = trail(since);
      if (lines == null || !csv) {
        return lines == null ? 1 : print(lines);
      }
      StringBuilder out = new StringBuilder();
      try (CSVPrinter printer = new CSVPrinter(out, CSVFormat.RFC4180)) {
        printer.printRecord("revision", "reference", "change", "at_ms", "by", "event", "details");
        for (Map<String, Object> line : lines) {
          printer.printRecord(
              line.get("revision"),
              line.get("id"),
              line.get("change"),
              line.get("at_ms"),
              line.get("by"),
              line.get("event"),
              new String(Json.write(line.get("details")), StandardCharsets.UTF_8));
        }
      }
      print(out.toString());
      return 0;
    }
  }

  @Command(
      name = "claim",
      mixinStandardHelpOptions = true,
      description =
          "Records which records a job's tasks may access, before or after its submission. A recorded claim cannot be changed.")
  static final class Claim extends HoldCommand {
    @Parameters(index = "0", paramLabel = "JOB", description = "the id of the job")
    private String job;

    @Parameters(
        index = "1",
        paramLabel = "FILE",
        description =
            "CSV without a header: tasks such as 0-15, then the records that each of them may access")
    private Path file;

    @Mixin private ChangeOptions request;

    @Override
    String kind() {
      return ClaimKind.NAME;
    }

    @Override
    public Integer call() throws IOException {
      if (JobId.parse(job) == null) {
        throw invalidUsage("'" + job + "' is no id of a job");
      }
      List<List<Object>> pages = new ArrayList<>();
      int length = 0;
      try (CSVParser lines = CSVParser.parse(file, StandardCharsets.UTF_8, CSVFormat.RFC4180)) {
        for (CSVRecord line : lines) {
          RecordClaim claim = claim(line);
          length += ClaimKind.length(claim);
          if (pages.isEmpty() || length > ClaimKind.MAX_PAGE_LENGTH) {
            pages.add(new ArrayList<>());
            length = ClaimKind.length(claim);
          }
          pages
              .get(pages.size() - 1)
              .add(
                  Json.object(
                      "tasks",
                      claim.tasks().toString(),
                      "records",
                      claim.records().stream().map(RecordSelector::toString).toList()));
        }
      } catch (java.nio.file.NoSuchFileException e) {
        throw invalidUsage("there is no file " + file);
      }
      if (pages.isEmpty()) {
        throw invalidUsage(file + " has no lines");
      }
      int status = 0;
      for (int page = 0; page < pages.size() && status == 0; page++) {
        status =
            change(
                page == 0 ? job : job + "." + page,
                request,
                Json.object("claims", pages.get(page)));
      }
      return status;
    }

    private RecordClaim claim(CSVRecord line) {
      TaskSet tasks = TaskSet.parse(line.get(0).trim(), ClaimKind.MAX_TASKS);
      if (tasks == null || tasks.isEmpty()) {
        throw invalidUsage(
            file
                + " line "
                + line.getRecordNumber()
                + ": '"
                + line.get(0)
                + "' names no tasks such as 0-15,17");
      }
      List<RecordSelector> records = new ArrayList<>();
      for (int i = 1; i < line.size(); i++) {
        try {
          records.add(RecordSelector.parse(line.get(i).trim()));
        } catch (IllegalArgumentException e) {
          throw invalidUsage(file + " line " + line.getRecordNumber() + ": " + e.getMessage());
        }
      }
      if (records.isEmpty()) {
        throw invalidUsage(file + " line " + line.getRecordNumber() + " names no records");
      }
      RecordClaim claim = new RecordClaim(tasks, records);
      if (ClaimKind.length(claim) > ClaimKind.MAX_PAGE_LENGTH) {
        throw invalidUsage(
            file
                + " line "
                + line.getRecordNumber()
                + " is longer than "
                + ClaimKind.MAX_PAGE_LENGTH
                + " characters: split it");
      }
      return claim;
    }
  }

  @Command(
      name = "sweeps",
      mixinStandardHelpOptions = true,
      description = "Lists the sweep lanes, or sets which series the jobs of a lane may access.")
  static final class Sweeps extends HoldCommand {
    @Parameters(
        index = "0",
        arity = "0..1",
        paramLabel = "LANE",
        description = "the lane; if omitted, all are listed")
    private String jobClass;

    @Parameters(
        index = "1..*",
        arity = "0..*",
        paramLabel = "SERIES",
        description = "series that its jobs may access; '*' for any")
    private List<String> series;

    @Option(names = "--none", description = "the lane is no longer a sweep lane")
    private boolean none;

    @Mixin private ChangeOptions request;

    @Override
    String kind() {
      return SweepClassKind.NAME;
    }

    @Override
    public Integer call() {
      if (jobClass == null) {
        List<Map<String, Object>> rows = list();
        return rows == null ? 1 : print(rows);
      }
      boolean named = series != null && !series.isEmpty();
      if (named == none) {
        throw invalidUsage(
            "name the series that jobs of "
                + jobClass
                + " may access ('*' for any), or give --none");
      }
      List<String> all = named ? series : List.of();
      records(all.stream().filter(each -> !each.equals(RecordSelector.ANY.series())).toList());
      return change(jobClass, request, Json.object("series", all));
    }
  }
}
