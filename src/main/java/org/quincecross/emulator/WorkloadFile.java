package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.MalformedMessageException;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** The jobs for a trial deployment, read from a TOML file. Errors name the line and the field. */
final class WorkloadFile {
  private static final Map<String, JobKind> SHAPES =
      Map.of("array", JobKind.ARRAY, "gang", JobKind.GANG, "service", JobKind.SERVICE);
  private static final Map<String, Priority> RANKS =
      Map.of(
          "critical",
          Priority.PRODUCTION,
          "high",
          Priority.HIGH,
          "standard",
          Priority.NORMAL,
          "idle",
          Priority.LOW);
  private static final Set<String> FIELDS =
      Set.of(
          "name",
          "shape",
          "rank",
          "team",
          "copies",
          "per_machines",
          "every_s",
          "tasks",
          "cpus",
          "gpus",
          "memory_gb",
          "image",
          "image_gb",
          "run_s",
          "save_every_s",
          "save_s",
          "spread",
          "one_zone",
          "spot",
          "due_s",
          "waits_on");
  private static final int MAX_TASKS = 100_000;
  private static final int MAX_COPIES = 10_000;
  private static final int FIRST_NUMBER = 1000;

  /** A job and its earliest submission time; its dependencies are accepted before. */
  record ScheduledJob(double atS, Job job) {
    DependentJobs.PipelineJob step() {
      return new DependentJobs.PipelineJob(job, DependentJobs.SubmitCondition.ONCE_ACCEPTED);
    }
  }

  private final ClusterSpec spec;
  private final List<ScheduledJob> scheduled = new ArrayList<>();

  /** The jobs by name, for the dependencies of others; tables may share a name. */
  private final Map<String, List<JobId>> jobsByName = new HashMap<>();

  private WorkloadFile(ClusterSpec spec) {
    this.spec = spec;
  }

  /**
   * Reads the jobs in a file, ordered by submission time; sizes and copies are checked against the
   * deployment.
   *
   * @throws MalformedMessageException with the line and the field that are wrong
   */
  static List<ScheduledJob> read(String text, ClusterSpec spec) throws MalformedMessageException {
    TomlParseResult toml = Toml.parse(text);
    if (toml.hasErrors()) {
      throw new MalformedMessageException(
          "line "
              + toml.errors().get(0).position().line()
              + ": "
              + firstLine(toml.errors().get(0).getMessage()));
    }
    for (String key : toml.keySet()) {
      if (!key.equals("jobs")) {
        throw malformed(
            toml.inputPositionOf(List.of(key)), key, "is not known; there are [[jobs]]");
      }
    }
    TomlArray jobs = toml.isArray("jobs") ? toml.getArray("jobs") : null;
    if (jobs == null
        || jobs.isEmpty()
        || !jobs.toList().stream().allMatch(TomlTable.class::isInstance)) {
      throw new MalformedMessageException("line 1: no [[jobs]]");
    }
    WorkloadFile file = new WorkloadFile(spec);
    for (int i = 0; i < jobs.size(); i++) {
      file.readTable(jobs.getTable(i), jobs.inputPositionOf(i));
    }
    file.scheduled.sort((one, other) -> Double.compare(one.atS(), other.atS()));
    return file.scheduled;
  }

  private static String firstLine(String text) {
    return text == null ? "not TOML" : text.lines().findFirst().orElse("not TOML");
  }

  private static MalformedMessageException malformed(TomlPosition at, String field, String what) {
    return new MalformedMessageException(
        "line " + (at == null ? "?" : at.line()) + ": field " + field + " " + what);
  }

  /** One table of the file, and its position. */
  private record JobTable(TomlTable table, TomlPosition position) {
    MalformedMessageException malformed(String field, String what) {
      TomlPosition at = table.inputPositionOf(List.of(field));
      return WorkloadFile.malformed(at == null ? position : at, field, what);
    }

    String text(String field, String otherwise) throws MalformedMessageException {
      Object value = table.get(List.of(field));
      if (value == null && otherwise == null) {
        throw malformed(field, "is missing");
      }
      if (value == null) {
        return otherwise;
      }
      if (value instanceof String text && !text.isBlank() && text.length() <= 60) {
        return text;
      }
      throw malformed(field, "is not a short text");
    }

    double amount(String field, double otherwise, double most) throws MalformedMessageException {
      Object value = table.get(List.of(field));
      if (value == null && otherwise < 0) {
        throw malformed(field, "is missing");
      }
      double amount =
          value == null
              ? otherwise
              : value instanceof Number number ? number.doubleValue() : Double.NaN;
      if (!(amount >= 0 && amount <= most)) {
        throw malformed(field, "is not a number from 0 to " + most);
      }
      return amount;
    }

    int count(String field, int otherwise, int most) throws MalformedMessageException {
      Object value = table.get(List.of(field));
      if (value == null && otherwise < 0) {
        throw malformed(field, "is missing");
      }
      long count = value == null ? otherwise : value instanceof Long number ? number : -1;
      if (count < 1 || count > most) {
        throw malformed(field, "is not a whole number from 1 to " + most);
      }
      return (int) count;
    }

    boolean flag(String field) throws MalformedMessageException {
      Object value = table.get(List.of(field));
      if (value == null || value instanceof Boolean) {
        return Boolean.TRUE.equals(value);
      }
      throw malformed(field, "is not true or false");
    }

    List<?> list(String field) throws MalformedMessageException {
      Object value = table.get(List.of(field));
      if (value == null || value instanceof TomlArray) {
        return value == null ? List.of() : ((TomlArray) value).toList();
      }
      throw malformed(field, "is not a list");
    }

    <T> T word(String field, Map<String, T> words) throws MalformedMessageException {
      T value = words.get(text(field, null));
      if (value == null) {
        throw malformed(field, "is not one of " + words.keySet().stream().sorted().toList());
      }
      return value;
    }
  }

  private void readTable(TomlTable table, TomlPosition begins) throws MalformedMessageException {
    JobTable in = new JobTable(table, begins);
    for (String key : table.keySet()) {
      if (!FIELDS.contains(key)) {
        throw in.malformed(key, "is not known");
      }
    }
    String name = in.text("name", null);
    JobKind kind = in.word("shape", SHAPES);
    String team = in.text("team", null);
    if (!spec.teams().containsKey(team)) {
      throw in.malformed("team", "is not one of " + spec.teams().keySet());
    }
    int tasks = in.count("tasks", 1, MAX_TASKS);
    Resources each =
        new Resources(
            in.amount("cpus", -1, 1000),
            in.amount("gpus", 0, 100),
            in.amount("memory_gb", -1, 10_000));
    if (each.cpus() <= 0) {
      throw in.malformed("cpus", "is not above 0");
    }
    if (spec.types().stream().noneMatch(type -> each.fitsIn(type.capacity()))) {
      throw in.malformed("cpus", "and memory_gb of a task fit no machine of this site");
    }
    boolean runs = kind != JobKind.SERVICE;
    double run = runs ? in.amount("run_s", -1, 100_000) : 0;
    double every = in.amount("every_s", 0, 100_000);
    double due = in.amount("due_s", 0, 1_000_000);
    int copies = in.count("copies", 1, MAX_COPIES);
    int perMachines = in.count("per_machines", spec.maxMachines(), Integer.MAX_VALUE);
    int all = Math.max(1, copies * spec.maxMachines() / perMachines);
    List<List<JobId>> before = dependencies(in);
    List<JobId> ids = new ArrayList<>();
    for (int i = 0; i < all; i++) {
      int number = i;
      JobId id = new JobId("job-" + (FIRST_NUMBER + this.scheduled.size()));
      ids.add(id);
      this.scheduled.add(
          new ScheduledJob(
              i * every * copies / all,
              Job.builder(id)
                  .jobClass(name)
                  .team(team)
                  .kind(kind)
                  .priority(in.word("rank", RANKS))
                  .taskCount(tasks)
                  .taskResources(each)
                  .singleZone(in.flag("one_zone"))
                  .spreadOverZones(in.flag("spread"))
                  .allowsSpot(in.flag("spot"))
                  .image(in.text("image", name))
                  .imageGb(in.amount("image_gb", 0, 1000))
                  .estimate(TimeSpan.ofSeconds(run))
                  .checkpointInterval(TimeSpan.ofSeconds(in.amount("save_every_s", 0, 100_000)))
                  .checkpointCost(TimeSpan.ofSeconds(in.amount("save_s", 0, 1000)))
                  .deadline(due == 0 ? null : TimeSpan.ofSeconds(due))
                  .dependencies(
                      before.stream()
                          .map(those -> those.get(number % those.size()))
                          .collect(Collectors.toSet()))
                  .build()));
    }
    jobsByName.put(name, jobsByName.containsKey(name) || kind == JobKind.SERVICE ? List.of() : ids);
  }

  /**
   * The copies of each job that this one depends on; each of its own copies depends on one of them,
   * in turn.
   */
  private List<List<JobId>> dependencies(JobTable in) throws MalformedMessageException {
    List<List<JobId>> before = new ArrayList<>();
    for (Object name : in.list("waits_on")) {
      List<JobId> those = jobsByName.getOrDefault(String.valueOf(name), List.of());
      if (those.isEmpty()) {
        throw in.malformed(
            "waits_on", "names " + name + ", which is not the name of one job above that ends");
      }
      before.add(those);
    }
    return before;
  }
}
