package org.quincecross.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.quincecross.failuredetection.IsolationDetector;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.StateWatcher;
import org.quincecross.state.StoreKeys;
import org.quincecross.state.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles submissions, polls and cancellations. What users are told is durable first, and what is
 * not final is told only after the cache was confirmed to be current, so no response is older than
 * one that another controller has given.
 */
final class UserApi {
  /** After this time without contact to the store, requests that need it are rejected at once. */
  private static final TimeSpan DISCONNECTED_AFTER = TimeSpan.ofSeconds(2);

  /** Part of a poll's 2 s; the rest is for the network. */
  private static final TimeSpan POLL_DEADLINE = TimeSpan.ofSeconds(1.6);

  private static final TimeSpan CANCEL_RETRY_DELAY = TimeSpan.ofMillis(60);
  private static final int CANCEL_TRIES = 6;

  /** Memory stays occupied for long, so an early retry is useless. */
  private static final int NO_MEMORY_RETRY_AFTER_S = 20;

  private static final TimeSpan MEMORY_LOG_INTERVAL = TimeSpan.ofSeconds(60);
  private static final Logger LOG = LoggerFactory.getLogger(UserApi.class);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final StateWatcher watcher;
  private final KeyValueStoreClient store;
  private final Settings settings;
  private final ToIntFunction<JobId> running;
  private final LongSupplier clockMs;
  private final ResponseDeadline polls;
  private final ResponseDeadline changes;
  private final Submissions submissions;
  private final DependencyWriter dependencyWriter;
  private final Cancellations cancellations;
  private final BooleanSupplier memoryIsShort;
  private final LoadShedder loadShedder;

  /**
   * Callbacks that wait for the same cancellation to be written. In a burst that exceeds the write
   * limit each write waits for its turn, and its user asks again every few seconds; with one more
   * write each time, the burst would feed itself (docs/incidents/wave-that-feeds-itself.md).
   */
  private final Map<JobId, List<Consumer<TransactionResult>>> cancelling = new HashMap<>();

  private MonotonicTime memoryLoggedAt;

  UserApi(
      Timers timers,
      ClusterStateCache cache,
      StateWatcher watcher,
      KeyValueStoreClient store,
      Settings settings,
      ToIntFunction<JobId> running,
      LongSupplier clockMs,
      Cancellations cancellations,
      Supplier<Incarnation> incarnation,
      BooleanSupplier memoryIsShort,
      Supplier<IsolationDetector.State> isolation) {
    this.timers = timers;
    this.cache = cache;
    this.watcher = watcher;
    this.store = store;
    this.settings = settings;
    this.running = running;
    this.clockMs = clockMs;
    this.cancellations = cancellations;
    this.memoryIsShort = memoryIsShort;
    this.loadShedder = new LoadShedder(timers, isolation, this::isDisconnected);
    this.polls =
        new ResponseDeadline(
            timers, POLL_DEADLINE, unavailable("the state service cannot be reached"));
    this.changes =
        new ResponseDeadline(
            timers, Submissions.MAX_RESPONSE_TIME, unavailable("not confirmed in time, ask again"));
    this.submissions =
        new Submissions(
            timers,
            store,
            watcher,
            settings.self(),
            incarnation,
            settings.storeLimits(),
            id -> cache.job(id) != null);
    this.dependencyWriter =
        new DependencyWriter(store, cache, settings.storeLimits().maxMutationsPerTransaction());
  }

  /** Handles a request below {@link JobCodec#JOBS_PATH}. */
  void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    String rest = request.path().substring(JobCodec.JOBS_PATH.length());
    if (rest.isEmpty()) {
      if (request.method().equals("POST")) {
        submit(request.body(), changes.guard(reply));
      } else {
        reply.accept(HttpResponse.of(405));
      }
      return;
    }
    boolean cancel = rest.endsWith(JobCodec.CANCEL_SUFFIX);
    JobId id =
        JobId.parse(
            rest.substring(
                1,
                cancel
                    ? Math.max(1, rest.length() - JobCodec.CANCEL_SUFFIX.length())
                    : rest.length()));
    if (rest.charAt(0) != '/' || id == null) {
      reply.accept(HttpResponse.of(404));
    } else if (cancel && request.method().equals("POST")) {
      cancel(id, CANCEL_TRIES, changes.guard(reply));
    } else if (!cancel && request.method().equals("GET")) {
      poll(id, polls.guard(reply));
    } else {
      reply.accept(HttpResponse.of(405));
    }
  }

  private static HttpResponse unavailable(String reason) {
    return HttpResponse.of(503, JobCodec.writeError(reason)).withRetryAfter(1);
  }

  private static HttpResponse error(int status, String reason) {
    return HttpResponse.of(status, JobCodec.writeError(reason));
  }

  private boolean isDisconnected() {
    MonotonicTime confirmed = watcher.confirmedAt();
    return confirmed == null || timers.now().since(confirmed).isLongerThan(DISCONNECTED_AFTER);
  }

  /**
   * Responds with a job's state; if a cancellation may not be confirmed yet, the user is told to
   * retry.
   */
  private void respond(JobRecord record, Consumer<HttpResponse> reply) {
    cancellations.whenSafe(
        record, safe -> reply.accept(safe ? state(record) : unavailable("being cancelled")));
  }

  private HttpResponse state(JobRecord record) {
    int tasks = record.job() == null ? 0 : record.job().taskCount();
    int done = record.phase() == JobPhase.DONE ? tasks : cache.completedCount(record.id());
    return HttpResponse.of(
        200,
        JobCodec.writeStatus(
            record.id(),
            record.phase(),
            done,
            record.phase() == JobPhase.OPEN ? running.applyAsInt(record.id()) : 0,
            record.phase() == JobPhase.OPEN
                ? cache.dependencyGraph().unfinishedDependencies(record.id())
                : List.of()));
  }

  /**
   * Responds with a job's state: at once if it is final, else when the cache is known to be
   * current.
   */
  private void readJob(JobId id, Consumer<HttpResponse> reply, Runnable unknown) {
    readJob(id, reply, unknown, false);
  }

  private void readJob(JobId id, Consumer<HttpResponse> reply, Runnable unknown, boolean mayWait) {
    JobRecord known = cache.job(id);
    if (known != null && known.phase().isTerminal()) {
      respond(known, reply);
    } else if (isDisconnected()) {
      loadShedder.reject(reply, () -> readJob(id, reply, unknown, mayWait));
    } else {
      Consumer<Boolean> answer =
          current -> {
            JobRecord record = cache.job(id);
            if (!current) {
              reply.accept(unavailable("the state service cannot be reached"));
            } else if (record == null) {
              unknown.run();
            } else {
              respond(record, reply);
            }
          };
      if (mayWait) {
        watcher.barrierSoon(answer);
      } else {
        watcher.barrier(answer);
      }
    }
  }

  private void poll(JobId id, Consumer<HttpResponse> reply) {
    readJob(
        id,
        reply,
        () -> reply.accept(HttpResponse.of(404, JobCodec.writeError("no such job"))),
        true);
  }

  private void submit(byte[] body, Consumer<HttpResponse> reply) {
    JsonFields in;
    JobId id;
    try {
      in = Json.parseFields(body);
      id = JobCodec.readId(in);
    } catch (MalformedMessageException e) {
      reply.accept(error(400, e.getMessage()));
      return;
    }
    if (cache.job(id) != null) {
      readJob(id, reply, () -> reply.accept(unavailable("try again")));
      return;
    }
    if (isDisconnected()) {
      loadShedder.reject(reply, () -> submit(body, reply));
      return;
    }
    if (memoryIsShort.getAsBoolean()) {
      logMemoryShortage();
      reply.accept(unavailable("no memory for more jobs").withRetryAfter(NO_MEMORY_RETRY_AFTER_S));
      return;
    }
    HttpResponse rejection;
    Job job = null;
    try {
      job = JobCodec.readSubmission(in);
      rejection = rejection(job);
    } catch (MalformedMessageException e) {
      rejection = error(400, e.getMessage());
    }
    if (rejection == null) {
      if (hasUnknownDependency(job)) {
        acceptIfDependenciesExist(job, reply);
        return;
      }
      accept(job, reply);
    } else if (rejection.status() == 503) {
      reply.accept(rejection);
    } else {
      // A known job is known whatever its repetition contains: another controller may have accepted
      // it just now.
      HttpResponse response = rejection;
      readJob(id, reply, () -> reply.accept(response));
    }
  }

  private void logMemoryShortage() {
    MonotonicTime now = timers.now();
    if (memoryLoggedAt == null || now.since(memoryLoggedAt).isLongerThan(MEMORY_LOG_INTERVAL)) {
      memoryLoggedAt = now;
      LOG.error("memory limit reached with {} stored jobs; rejecting new jobs", cache.jobCount());
    }
  }

  private boolean hasUnknownDependency(Job job) {
    return job.dependencies().stream().anyMatch(id -> cache.job(id) == null);
  }

  /**
   * Another controller may have accepted a dependency a moment ago; only a read that begins now can
   * prove that none has.
   */
  private void acceptIfDependenciesExist(Job job, Consumer<HttpResponse> reply) {
    readJob(
        job.id(),
        reply,
        () -> {
          HttpResponse rejection =
              hasUnknownDependency(job)
                  ? error(422, "waits on a job that was never accepted")
                  : rejection(job); // the cache may contain more now
          if (rejection != null) {
            reply.accept(rejection);
          } else {
            accept(job, reply);
          }
        });
  }

  private void accept(Job job, Consumer<HttpResponse> reply) {
    int retryAfterS = submissions.retryAfterS(job.team());
    if (retryAfterS > 0) {
      reply.accept(error(429, "too many submissions at once").withRetryAfter(retryAfterS));
      return;
    }
    dependencyWriter.write(
        job.dependencies(),
        durable -> {
          if (durable) {
            persist(job, reply);
          } else {
            reply.accept(unavailable("the state service does not take it now"));
          }
        });
  }

  private void persist(Job job, Consumer<HttpResponse> reply) {
    submissions.submit(
        job,
        clockMs.getAsLong(),
        outcome -> {
          JobRecord record = cache.job(job.id());
          switch (outcome) {
            case ACCEPTED -> {
              // A job that depends on a cancelled one is cancelled from its acceptance on, possibly
              // long known as such; only a read that begins now tells whether it is.
              if (!job.dependencies().isEmpty()) {
                readJob(
                    job.id(),
                    response ->
                        reply.accept(
                            response.status() == 200
                                ? HttpResponse.of(201, response.body())
                                : response),
                    () -> reply.accept(unavailable("try again")));
              } else {
                reply.accept(
                    HttpResponse.of(201, JobCodec.writeStatus(job.id(), JobPhase.OPEN, 0, 0)));
              }
            }
            case LOOK -> {
              if (record == null) {
                reply.accept(unavailable("try again"));
              } else {
                respond(record, reply);
              }
            }
            case REFUSED -> reply.accept(unavailable("the state service does not take it now"));
            default -> throw new IllegalStateException(outcome.toString());
          }
        });
  }

  /** Why a job can never run or be stored, or null. */
  private HttpResponse rejection(Job job) {
    Team team = settings.teams().get(job.team());
    if (team == null) {
      return error(422, "unknown team");
    }
    if (cache.machineTypes().isEmpty()) {
      return unavailable("the machine types are not known yet");
    }
    boolean fits = false;
    for (MachineType type : cache.machineTypes().values()) {
      // A machine type that the cloud offers only in other zones than the job's cannot run the job.
      boolean allowed =
          (job.machineTypes() == null || job.machineTypes().contains(type.name()))
              && (job.zone() == null || type.zones().contains(job.zone()));
      fits |= allowed && job.taskResources().fitsIn(type.capacity());
    }
    if (!fits) {
      return error(422, "no allowed machine type fits a task");
    }
    for (JobId id : job.dependencies()) {
      JobRecord dependency = cache.job(id);
      if (dependency != null
          && dependency.phase() == JobPhase.OPEN
          && dependency.job().kind() == JobKind.SERVICE) {
        return error(422, "waits on a service, which is never done");
      }
    }
    Resources need =
        job.kind() == JobKind.ARRAY
            ? job.taskResources()
            : job.taskResources().times(job.taskCount());
    if (!need.fitsIn(team.limit())) {
      return error(422, "more than the team's limit");
    }
    return submissions.fits(job, clockMs.getAsLong())
        ? null
        : error(400, "the description is too long");
  }

  private void cancel(JobId id, int tries, Consumer<HttpResponse> reply) {
    JobRecord known = cache.job(id);
    if (known == null) {
      watcher.barrier(current -> cancelAfterRead(id, tries, current, reply));
    } else if (known.phase().isTerminal()) {
      respond(known, reply);
    } else if (tries == 0) {
      reply.accept(unavailable("the state service cannot be reached"));
    } else if (isDisconnected()) {
      loadShedder.reject(reply, () -> cancel(id, tries - 1, reply));
    } else {
      writeCancellation(id, result -> cancellationWritten(id, tries, result, reply));
    }
  }

  private void cancelAfterRead(JobId id, int tries, boolean current, Consumer<HttpResponse> reply) {
    if (!current) {
      reply.accept(unavailable("the state service cannot be reached"));
    } else if (cache.job(id) == null) {
      reply.accept(HttpResponse.of(404, JobCodec.writeError("no such job")));
    } else {
      cancel(id, tries, reply);
    }
  }

  private void cancellationWritten(
      JobId id, int tries, TransactionResult result, Consumer<HttpResponse> reply) {
    if (result.committed()) {
      watcher.barrier(current -> cancel(id, current ? tries - 1 : 0, reply));
    } else if (result.kind() == TransactionResult.Kind.UNAVAILABLE) {
      reply.accept(unavailable("the state service cannot be reached"));
    } else if (result.kind() == TransactionResult.Kind.TOO_LARGE) {
      reply.accept(unavailable("the state service takes no record so large"));
    } else {
      watcher.barrier(
          current -> timers.after(CANCEL_RETRY_DELAY, () -> cancel(id, tries - 1, reply)));
    }
  }

  /** Writes a cancellation once for all who wait for it. */
  private void writeCancellation(JobId id, Consumer<TransactionResult> done) {
    List<Consumer<TransactionResult>> others = cancelling.get(id);
    if (others != null) {
      others.add(done); // each is answered after a read that begins when the outcome is known
      return;
    }
    List<Consumer<TransactionResult>> all = new ArrayList<>(List.of(done));
    cancelling.put(id, all);
    Map<String, Object> record =
        cache
            .storedJob(id)
            .writeCancelled(clockMs.getAsLong(), settings.storeLimits().maxValueBytes());
    store.commit(
        List.of(new Precondition(StoreKeys.job(id), cache.version(StoreKeys.job(id)))),
        List.of(Mutation.put(StoreKeys.job(id), record)),
        result -> {
          cancelling.remove(id);
          all.forEach(each -> each.accept(result));
        });
  }
}
