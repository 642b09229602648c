package org.quincecross.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.failuredetection.IsolationDetector;
import org.quincecross.failuredetection.UnconfirmedOwnershipBound;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MachineType;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.ManualTimers;
import org.quincecross.peer.PeerViews;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.shard.OwnedShards;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.StateWatcher;
import org.quincecross.state.StoreKeys;

/**
 * Tests the responses of one controller to users; the test controls the state service and delays
 * its responses.
 */
class UserApiTest {
  private static final ControllerId MEMBER = new ControllerId("n0");
  private static final Endpoint ADDRESS = new Endpoint("10.0.0.1", 80);
  private static final int MAX_BYTES = 4096;

  private final ManualTimers clock = new ManualTimers();
  private final ClusterStateCache cache = new ClusterStateCache();
  private final Map<String, Long> stamps = new HashMap<>();
  private final List<Map<String, Object>> log = new ArrayList<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private Predicate<String> delays = what -> false;
  private long epoch;
  private int changesAsked;
  private int acceptedBytes = MAX_BYTES;
  private UserApi users;

  // The whole test setup in one place.
  @SuppressWarnings("MethodLength")
  @BeforeEach
  void startController() {
    MachineType type =
        new MachineType(
            "g8", new Resources(96, 8, 768), 200, 1, 12, 4.5, TimeSpan.ofSeconds(45), List.of("a"));
    write(StoreKeys.machineType("g8"), CloudCodec.writeCatalog(List.of(type)));
    Settings.StoreLimits limits = new Settings.StoreLimits(1000, 50, MAX_BYTES, 8);
    Settings.AgentTimeouts workers =
        new Settings.AgentTimeouts(
            TimeSpan.ofSeconds(1),
            TimeSpan.ofSeconds(11),
            TimeSpan.ofSeconds(20),
            TimeSpan.ofSeconds(4),
            TimeSpan.ofSeconds(36));
    Settings settings =
        new Settings(
            MEMBER,
            "a",
            ADDRESS,
            ADDRESS,
            List.of(),
            ADDRESS,
            ADDRESS,
            List.of("a"),
            Map.of("vision", new Team("vision", Resources.NONE, new Resources(1e6, 1e6, 1e6))),
            List.of(),
            workers,
            limits,
            new Settings.CloudLimits(4, TimeSpan.ofSeconds(2)),
            TimeSpan.ofSeconds(2),
            new Settings.ProcessLimits(1, 300, 1000));
    KeyValueStoreClient store =
        new KeyValueStoreClient(
            clock, (to, request, timeout, done) -> serve(request, done), ADDRESS, limits);
    StateWatcher watcher = new StateWatcher(clock, store, cache);
    UnconfirmedOwnershipBound bound = workers.unconfirmedBound();
    Cancellations cancellations =
        new Cancellations(
            clock,
            cache,
            new OwnedShards(null, MEMBER, () -> new Incarnation(7)),
            new PeerViews(),
            bound);
    cache.addListener(cancellations::cacheChanged);
    users =
        new UserApi(
            clock,
            cache,
            watcher,
            store,
            settings,
            job -> 0,
            () -> clock.now().nanos() / 1_000_000,
            cancellations,
            () -> new Incarnation(7),
            () -> false,
            () -> IsolationDetector.State.CONNECTED);
    watcher.start();
    clock.advance(1);
  }

  // ---- a state service whose watches never return, so that only barriers deliver changes ----

  private void write(String key, Object value) {
    stamps.put(key, ++epoch);
    log.add(Json.object("Set", key, "Value", value, "Stamp", epoch));
  }

  private void serve(HttpRequest request, Consumer<HttpOutcome> done) {
    try {
      HttpResponse answer = answer(request);
      Runnable reply = () -> done.accept(HttpOutcome.answered(answer));
      if (delays.test(request.path())) {
        delayed.add(reply);
      } else if (!"10000".equals(request.query("BlockMs"))) {
        clock.after(TimeSpan.ofMillis(2), reply);
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse answer(HttpRequest request) throws MalformedMessageException {
    if (request.path().equals("/keys")) {
      List<Object> items = new ArrayList<>();
      log.forEach(
          event ->
              items.add(
                  Json.object(
                      "Path",
                      event.get("Set"),
                      "Value",
                      event.get("Value"),
                      "Stamp",
                      event.get("Stamp"))));
      return HttpResponse.of(
          200, Json.write(Json.object("Items", items, "More", false, "Epoch", epoch)));
    }
    if (request.path().equals("/follow")) {
      long since = Long.parseLong(request.query("Since"));
      return HttpResponse.of(
          200,
          Json.write(
              Json.object(
                  "Epoch",
                  epoch,
                  "Log",
                  log.stream().filter(each -> (long) each.get("Stamp") > since).toList())));
    }
    JsonFields in = Json.parseFields(request.body());
    changesAsked += in.objects("Apply").size();
    for (JsonFields change : in.objects("Apply")) {
      if (Json.write(change.raw("Value")).length > acceptedBytes) {
        return HttpResponse.of(400);
      }
    }
    List<String> failed = new ArrayList<>();
    for (JsonFields guard : in.objects("Guards")) {
      if (stamps.getOrDefault(guard.string("Path"), 0L) != guard.unsigned("Stamp")) {
        failed.add(guard.string("Path"));
      }
    }
    if (!failed.isEmpty()) {
      return HttpResponse.of(409, Json.write(Json.object("failed", failed, "Epoch", epoch)));
    }
    in.objects("Apply").forEach(change -> write((String) change.raw("Set"), change.raw("Value")));
    return HttpResponse.of(200, Json.write(Json.object("Epoch", epoch)));
  }

  // ---- users ----

  private static Map<String, Object> job(int number) {
    return Json.object(
        "Uid",
        "job-" + number,
        "Lane",
        "train",
        "Crew",
        "vision",
        "Shape",
        "sweep",
        "Rank",
        "high",
        "Pieces",
        16,
        "Cpus",
        8.0,
        "Cards",
        1.0,
        "MemGb",
        64.0,
        "Bundle",
        "img-07",
        "ImageGb",
        6.2,
        "Hulls",
        List.of("g8"),
        "Yard",
        null,
        "OneZone",
        true,
        "Scatter",
        false,
        "Loaners",
        true,
        "GuessS",
        240.0,
        "MarkEveryS",
        30.0,
        "MarkCostS",
        4.0,
        "DueS",
        900.0);
  }

  /** Returns the responses to a user's request; empty until there is one. */
  private List<String> ask(HttpRequest request) {
    List<String> answers = new ArrayList<>();
    Consumer<HttpResponse> reply =
        response -> {
          try {
            JsonFields body = Json.parseFields(response.body());
            answers.add(
                response.status() + (body.has("Status") ? " " + body.string("Status") : ""));
          } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
          }
        };
    try {
      users.handle(request, reply);
    } catch (RuntimeException e) {
      answers.add("the connection is closed"); // as the event loop does
    }
    return answers;
  }

  private List<String> submit(Map<String, Object> job) {
    return ask(HttpRequest.post(JobCodec.JOBS_PATH, Json.write(job)));
  }

  private List<String> cancel(int number) {
    return ask(
        HttpRequest.post(
            JobCodec.JOBS_PATH + "/job-" + number + JobCodec.CANCEL_SUFFIX, new byte[0]));
  }

  private String soon(List<String> answers) {
    clock.advance(3);
    assertEquals(1, answers.size(), answers.toString());
    return answers.get(0);
  }

  // ---- responses ----

  /**
   * A submission is in progress, with the response to its write or to the read after it delayed.
   * Meanwhile another controller has reported the job as cancelled. A user who submits the job
   * again now must not be told anything older.
   */
  @ParameterizedTest
  @ValueSource(strings = {"/txn", "/follow"})
  void joinedSubmissionIsAnsweredWithCurrentState(String heldUp) {
    boolean inABundle = heldUp.equals("/follow");
    List<List<String>> others = new ArrayList<>();
    for (int number = 2; inABundle && number < 4; number++) {
      others.add(
          submit(job(number))); // the second waits for the first, and takes the next one with it
    }
    delays = heldUp::equals;
    List<String> first = submit(job(1));
    clock.advance(0.1);
    delays = what -> false;
    assertEquals(1, delayed.size());
    write("q/job/job-1", Json.object("phase", "cancelled", "at", 1, "cancelled", 2, "job", job(1)));
    List<String> again = submit(job(1));
    delayed.get(0).run();
    assertEquals("200 cancelled", soon(again));
    assertEquals(1, first.size());
    others.forEach(each -> assertEquals(1, each.size()));
  }

  /**
   * Jobs around the size of the largest value: none is accepted that could not be cancelled, and
   * none delays the jobs beside it.
   */
  @Test
  void rejectsOversizedJobWithoutDelayingOthers() {
    Random random = new Random(5);
    Set<String> outcomes = new TreeSet<>();
    for (int number = 1; number < 120; number++) {
      Map<String, Object> large = job(1000 + number);
      large.put("Lane", "x".repeat(MAX_BYTES - 520 + random.nextInt(260)));
      List<String> before = submit(job(2000 + number));
      List<String> answers = submit(large);
      List<String> beside = submit(job(3000 + number));
      clock.advance(0.5);
      assertEquals(List.of("201 queued"), before);
      assertTrue(
          List.of("200 queued", "201 queued").contains(String.join(" and ", beside)),
          "beside a large one: " + beside);
      String outcome = soon(answers);
      outcomes.add(outcome.substring(0, 1));
      if (!outcome.equals("400")) {
        assertEquals("200 cancelled", soon(cancel(1000 + number)), "told " + outcome);
      }
    }
    assertEquals(Set.of("2", "4"), outcomes);
  }

  /**
   * The state service counts more bytes for a value than is known here: what it rejects does not
   * delay what came with it.
   */
  @Test
  void valueRejectedByStoreDelaysNoOtherJob() {
    acceptedBytes = MAX_BYTES / 2;
    List<List<String>> others = new ArrayList<>();
    for (int number = 1; number < 8; number++) {
      others.add(submit(job(number)));
    }
    Map<String, Object> large = job(9);
    large.put("Lane", "x".repeat(acceptedBytes));
    List<String> refused = submit(large);
    clock.advance(0.4);
    others.forEach(
        each ->
            assertTrue(
                each.equals(List.of("201 queued")) || each.equals(List.of("200 queued")),
                others.toString()));
    assertEquals("503", soon(refused));
  }

  /**
   * Fields that must not be null must not be missing either; and a known job is known, whatever its
   * repetition contains.
   */
  @Test
  void rejectsMissingFieldsExceptForKnownJobs() {
    Set<String> mayBeNull = Set.of("Hulls", "Yard", "DueS");
    int number = 0;
    for (String field : job(0).keySet()) {
      for (boolean leftOut : List.of(true, false)) {
        Map<String, Object> lacking = new LinkedHashMap<>(job(++number));
        lacking.remove(field);
        if (!leftOut) {
          lacking.put(field, null);
        }
        assertEquals(
            mayBeNull.contains(field) ? "201 queued" : "400", soon(submit(lacking)), field);
        if (!field.equals("Uid")) {
          write(
              "q/job/job-" + (500 + number),
              Json.object("phase", "open", "at", 1, "job", job(500 + number)));
          lacking.put("Uid", "job-" + (500 + number));
          assertEquals("200 queued", soon(submit(lacking)), field);
        }
      }
    }
  }

  /** A cancellation that waits for its turn and is requested repeatedly costs one write. */
  @Test
  void cancellationIsWrittenOnce() {
    assertEquals("201 queued", soon(submit(job(1))));
    changesAsked = 0;
    delays = "/txn"::equals;
    List<List<String>> answers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      answers.add(cancel(1));
      clock.advance(0.05);
    }
    delays = what -> false;
    delayed.forEach(Runnable::run);
    clock.advance(1);
    assertEquals(Collections.nCopies(20, List.of("200 cancelled")), answers);
    assertEquals(1, changesAsked);
  }
}
