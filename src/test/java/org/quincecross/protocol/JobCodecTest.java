package org.quincecross.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

class JobCodecTest {
  // A generator is easier to read in one piece.
  @SuppressWarnings("MethodLength")
  @Provide
  static Arbitrary<Job> jobs() {
    var words =
        Arbitraries.strings()
            .withCharRange('a', 'z')
            .withChars("-_é\"")
            .ofMinLength(1)
            .ofMaxLength(12);
    var spans = Arbitraries.integers().between(0, 4000).map(s -> TimeSpan.ofSeconds(s));
    var amounts = Arbitraries.integers().between(1, 4000).map(n -> n / 8.0);
    var head =
        Combinators.combine(
            Arbitraries.integers().between(0, 999_999),
            words,
            words,
            Arbitraries.of(JobKind.class),
            Arbitraries.of(Priority.class),
            Arbitraries.integers().between(1, JobCodec.MAX_TASKS));
    var place =
        Combinators.combine(
                Arbitraries.of(true, false),
                Arbitraries.of(true, false),
                Arbitraries.of(true, false),
                words.injectNull(0.3),
                words.set().ofMaxSize(3).injectNull(0.3))
            .as((one, spread, spot, zone, types) -> new Object[] {one, spread, spot, zone, types});
    return Combinators.combine(
            head.as(
                (n, lane, team, kind, priority, tasks) ->
                    new Object[] {n, lane, team, kind, priority, tasks}),
            place,
            amounts,
            amounts,
            spans,
            spans,
            spans.injectNull(0.3))
        .as(
            (h, p, cpus, mem, estimate, save, due) -> {
              @SuppressWarnings("unchecked")
              Set<String> types = (Set<String>) p[4];
              return Job.builder(new JobId("job-" + h[0]))
                  .jobClass((String) h[1])
                  .team((String) h[2])
                  .kind((JobKind) h[3])
                  .priority((Priority) h[4])
                  .taskCount((int) h[5])
                  .taskResources(new Resources(cpus, 0, mem))
                  .machineTypes(types)
                  .zone((String) p[3])
                  .singleZone((boolean) p[0])
                  .spreadOverZones((boolean) p[1])
                  .allowsSpot((boolean) p[2])
                  .image("img")
                  .imageGb(mem)
                  .estimate(estimate)
                  .checkpointInterval(save)
                  .checkpointCost(save)
                  .deadline(due)
                  .dependencies(
                      IntStream.range(0, (int) h[5] % 4)
                          .mapToObj(i -> new JobId("job-00" + i))
                          .collect(Collectors.toSet()))
                  .build();
            });
  }

  @Property(tries = 300, seed = "4")
  void writtenJobReadsTheSame(@ForAll("jobs") Job job) throws MalformedMessageException {
    assertEquals(job, JobCodec.readRecord(Json.parseFields(Json.write(JobCodec.writeRecord(job)))));
  }

  /**
   * A submission must have all fields except nullable ones; a stored record may omit fields with
   * default values.
   */
  @Property(tries = 100, seed = "6")
  void submissionRequiresAllFields(@ForAll("jobs") Job job) throws MalformedMessageException {
    assertEquals(
        job, JobCodec.readSubmission(Json.parseFields(Json.write(JobCodec.writeSubmission(job)))));
    for (String name : JobCodec.writeSubmission(job).keySet()) {
      Map<String, Object> lacking = JobCodec.writeSubmission(job);
      lacking.remove(name);
      if (!Set.of("Hulls", "Yard", "DueS", "WaitsOn").contains(name)) {
        assertThrows(
            MalformedMessageException.class,
            () -> JobCodec.readSubmission(Json.parseFields(Json.write(lacking))),
            name);
      }
    }
  }

  private static Map<String, Object> plain() {
    return Json.object(
        "Uid",
        "job-1",
        "Lane",
        "a",
        "Crew",
        "t",
        "Shape",
        "sweep",
        "Rank",
        "idle",
        "Pieces",
        3,
        "Cpus",
        1.0,
        "Cards",
        0.0,
        "MemGb",
        1.0,
        "Bundle",
        "i",
        "ImageGb",
        1.0,
        "GuessS",
        1.0,
        "MarkEveryS",
        0.0,
        "MarkCostS",
        0.0);
  }

  private static void readText(String json) throws MalformedMessageException {
    JobCodec.readRecord(Json.parseFields(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }

  @Example
  void errorsNameTheField() throws MalformedMessageException {
    String good = new String(Json.write(plain()), java.nio.charset.StandardCharsets.UTF_8);
    readText(good);
    List<String> bad =
        List.of(
            good.replace("\"Pieces\":3", "\"Pieces\":0"),
            good.replace("\"Pieces\":3", "\"Pieces\":100001"),
            good.replace("\"Pieces\":3", "\"Pieces\":3.5"),
            good.replace("\"Pieces\":3", "\"Pieces\":99999999999999999999"),
            good.replace("\"Cpus\":1.0", "\"Cpus\":-1.0"),
            good.replace("\"Cpus\":1.0", "\"Cpus\":NaN"),
            good.replace("\"Cpus\":1.0", "\"Cpus\":1e400"),
            good.replace("\"Cpus\":1.0", "\"Cpus\":\"1\""),
            good.replace("job-1", "task-1"),
            good.replace("job-1", "job-"),
            good.replace("job-1", "job-1x"),
            good.replace("sweep", "swoop"),
            good.replace("\"idle\"", "null"),
            good + "x",
            "[" + good + "]",
            "",
            "null");
    for (String text : bad) {
      assertThrows(MalformedMessageException.class, () -> readText(text), text);
    }
  }

  /**
   * No list and an empty list mean no dependencies, and a duplicate counts once; anything else than
   * a list of ids is malformed.
   */
  @Example
  void readsDependencies() throws MalformedMessageException {
    String good =
        new String(Json.write(plain()), java.nio.charset.StandardCharsets.UTF_8)
            .replace("}", ",\"WaitsOn\":?}");
    for (String none : List.of("null", "[]")) {
      assertEquals(
          Set.of(),
          JobCodec.readRecord(
                  Json.parseFields(
                      good.replace("?", none).getBytes(java.nio.charset.StandardCharsets.UTF_8)))
              .dependencies());
    }
    assertEquals(
        Set.of(new JobId("job-7"), new JobId("job-07")),
        JobCodec.readRecord(
                Json.parseFields(
                    good.replace("?", "[\"job-7\",\"job-07\",\"job-7\"]")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8)))
            .dependencies());
    for (String bad :
        List.of(
            "\"job-7\"",
            "{}",
            "7",
            "[7]",
            "[null]",
            "[\"job-\"]",
            "[\"task-7\"]",
            "[[\"job-7\"]]",
            "true")) {
      assertThrows(MalformedMessageException.class, () -> readText(good.replace("?", bad)), bad);
    }
  }

  @Property(tries = 500, seed = "5")
  void garbageIsMalformedMessage(@ForAll byte[] garbage) {
    try {
      JobCodec.readRecord(Json.parseFields(garbage));
    } catch (MalformedMessageException e) {
      assertEquals(false, e.getMessage().isEmpty());
    }
  }
}
