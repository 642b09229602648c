package org.quincecross.emulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.JobId;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;

/**
 * Users who make mistakes: they resubmit jobs that are not over, cancel jobs that are, ask for and
 * cancel unknown jobs, and submit jobs that can never run, lack a field or are no job at all. Each
 * gets the answer that the protocol defines, or is told to retry; and none has an effect.
 */
final class MalformedRequests {
  /** The request was refused for now, or not answered. */
  private static final Set<Integer> RETRY_STATUSES = Set.of(0, 429, 503, 504);

  private static final List<String> NULLABLE_FIELDS = List.of("Hulls", "Yard", "DueS");
  private static final int FIRST_NUMBER = 900_000;

  /** Why a submission must be refused. */
  enum InvalidSubmission {
    FITS_NO_MACHINE(422),
    NO_SUCH_TYPE(422),
    NO_SUCH_ZONE(422),
    UNKNOWN_TEAM(422),
    BEYOND_THE_LIMIT(422),
    LACKS_A_FIELD(400),
    WRONG_FIELD(400),
    NO_OBJECT(400),
    NO_JSON(400);

    private final int status;

    InvalidSubmission(int status) {
      this.status = status;
    }
  }

  private final ClusterEnvironment environment;
  private final Random random;
  private final double everyS;
  private final double untilS;
  private int number = FIRST_NUMBER;

  private MalformedRequests(
      ClusterEnvironment environment, Random random, double everyS, double seconds) {
    this.environment = environment;
    this.random = random;
    this.everyS = everyS;
    this.untilS = environment.clock().seconds() + seconds;
  }

  /** Sends one such request every {@code everyS} seconds, for some time. */
  static void begin(ClusterEnvironment environment, double everyS, double seconds, Random random) {
    new MalformedRequests(environment, random, everyS, seconds).sendNext();
  }

  private void sendNext() {
    if (environment.clock().seconds() >= untilS) {
      return;
    }
    List<JobId> open = new ArrayList<>();
    List<JobId> done = new ArrayList<>();
    environment
        .users()
        .reportedStates()
        .forEach(
            (id, state) -> {
              if (environment.users().isOpen(id)) {
                open.add(id);
              } else if (state.equals("done")) {
                done.add(id);
              }
            });
    int node = random.nextInt(environment.spec().nodes());
    switch (random.nextInt(4)) {
      case 0 -> sendForAnyOf(open, node, UserSimulator.RequestKind.AGAIN);
      case 1 -> sendForAnyOf(done, node, UserSimulator.RequestKind.CANCEL);
      case 2 -> sendForUnknown(new JobId("job-" + (FIRST_NUMBER + random.nextInt(1000))));
      default ->
          sendInvalid(
              InvalidSubmission.values()[random.nextInt(InvalidSubmission.values().length)]);
    }
    environment.clock().after(everyS * (0.5 + random.nextDouble()), this::sendNext);
  }

  private void sendForAnyOf(List<JobId> jobs, int node, UserSimulator.RequestKind what) {
    if (!jobs.isEmpty()) {
      environment.users().sendOnce(node, what, jobs.get(random.nextInt(jobs.size())));
    }
  }

  /** Also for jobs that were submitted and refused: they must be unknown. */
  private void sendForUnknown(JobId id) {
    String path = JobCodec.JOBS_PATH + "/" + id;
    expect("state of none", HttpRequest.get(path), 404);
    expect("cancel of none", HttpRequest.post(path + JobCodec.CANCEL_SUFFIX, new byte[0]), 404);
  }

  private void sendInvalid(InvalidSubmission what) {
    expect(what.toString(), HttpRequest.post(JobCodec.JOBS_PATH, body(what)), what.status);
  }

  private byte[] body(InvalidSubmission what) {
    Map<String, Object> job =
        Json.object(
            "Uid",
            "job-" + number++,
            "Lane",
            "odd",
            "Crew",
            environment.spec().teams().keySet().iterator().next(),
            "Shape",
            "standing",
            "Rank",
            "standard",
            "Pieces",
            1L,
            "Cpus",
            1.0,
            "Cards",
            0.0,
            "MemGb",
            1.0,
            "Hulls",
            null,
            "Yard",
            null,
            "OneZone",
            false,
            "Scatter",
            false,
            "Loaners",
            true,
            "Bundle",
            "odd",
            "ImageGb",
            1.0,
            "GuessS",
            0.0,
            "MarkEveryS",
            0.0,
            "MarkCostS",
            0.0,
            "DueS",
            null);
    List<String> needed =
        job.keySet().stream().filter(name -> !NULLABLE_FIELDS.contains(name)).toList();
    switch (what) {
      case FITS_NO_MACHINE -> job.put("MemGb", 1e6);
      case NO_SUCH_TYPE -> job.put("Hulls", List.of("none"));
      case NO_SUCH_ZONE -> job.put("Yard", "nowhere");
      case UNKNOWN_TEAM -> job.put("Crew", "nobody");
      case BEYOND_THE_LIMIT -> job.put("Pieces", 100_000L);
      case LACKS_A_FIELD -> job.remove(needed.get(random.nextInt(needed.size())));
      case WRONG_FIELD -> job.put(needed.get(random.nextInt(needed.size())), List.of());
      case NO_OBJECT -> {
        return Json.write(List.of(job));
      }
      case NO_JSON -> {
        byte[] json = Json.write(job);
        return new String(json, 0, 1 + random.nextInt(json.length - 1), StandardCharsets.UTF_8)
            .getBytes(StandardCharsets.UTF_8);
      }
      default -> throw new IllegalStateException(what.toString());
    }
    return Json.write(job);
  }

  private void expect(String what, HttpRequest request, int status) {
    environment
        .users()
        .request(
            "odd",
            request,
            outcome -> {
              if (outcome.status() != status && !RETRY_STATUSES.contains(outcome.status())) {
                environment
                    .invariants()
                    .onWrongAnswer(
                        what + " " + new String(request.body(), StandardCharsets.UTF_8),
                        outcome.status());
              }
            });
  }
}
