package org.quincecross.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.ModelCommand;
import org.quincecross.modelserving.ModelKind;
import org.quincecross.peer.ModelPlacementView;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.ReplicatedRecord;
import org.quincecross.state.CommandResponse;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.RecordCommand;
import org.quincecross.state.ReplicatedRecordIndex;

/**
 * Serves requests below {@code /admin/models}: the models, one model, defining, waking and draining
 * it, and reporting in-flight requests. Changes are applied as to all replicated records; responses
 * show this controller's state.
 */
public final class ModelsApi {
  public static final String ROOT = AdminApi.ROOT + "/models";
  private static final int MAX_IN_FLIGHT = 10_000_000;
  private static final List<String> LIMIT_FIELDS =
      List.of("job", "least", "most", "per_replica", "idle_s", "keep_warm");

  private final ReplicatedFeatureContext context;
  private final ModelIndex records;
  private final ModelDemandCollector demand;
  private final ModelPlacementView placementView;
  private final ToIntFunction<JobId> running;

  /**
   * @param running how many tasks of a job run, as reported by their shard owners
   */
  public ModelsApi(
      ReplicatedFeatureContext context,
      ModelIndex records,
      ModelDemandCollector demand,
      ModelPlacementView placementView,
      ToIntFunction<JobId> running) {
    this.context = context;
    this.records = records;
    this.demand = demand;
    this.placementView = placementView;
    this.running = running;
  }

  private static HttpResponse error(int status, String reason) {
    return HttpResponse.of(status, JobCodec.writeError(reason));
  }

  /** Handles a request below {@link #ROOT}. */
  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    String path = request.path().substring(ROOT.length());
    String[] parts =
        path.isEmpty() || path.equals("/") ? new String[0] : path.substring(1).split("/", -1);
    boolean get = request.method().equals("GET");
    if ((!get && !request.method().equals("POST"))
        || (get && parts.length > 1)
        || (!get && parts.length == 0)) {
      reply.accept(HttpResponse.of(405));
    } else if (parts.length == 0) {
      reply.accept(list());
    } else if (parts.length > 2 || !RecordId.isName(parts[0])) {
      reply.accept(
          error(404, "no name of a model: letters, digits, '.', '_' and '-', at most 100"));
    } else if (get) {
      reply.accept(
          isDefined(parts[0])
              ? HttpResponse.of(200, Json.write(show(parts[0])))
              : notDefined(parts[0]));
    } else {
      try {
        post(parts[0], parts.length == 1 ? "define" : parts[1], request.body(), reply);
      } catch (MalformedMessageException | MalformedRecordException e) {
        reply.accept(error(400, e.getMessage()));
      }
    }
  }

  private boolean isDefined(String name) {
    return records.book().state(name).isDefined();
  }

  private static HttpResponse notDefined(String name) {
    return error(404, "no model " + name + " is defined");
  }

  private void post(String name, String action, byte[] body, Consumer<HttpResponse> reply)
      throws MalformedMessageException, MalformedRecordException {
    JsonFields in = Json.parseFields(body);
    if (!action.equals("define") && !isDefined(name)) {
      reply.accept(notDefined(name));
      return;
    }
    switch (action) {
      case "define" -> define(name, in, reply);
      case "wake" -> {
        allowOnly(in, List.of());
        if (mayWake(name, reply)) {
          demand.wake(name, answer -> reply.accept(answered(name, answer)));
        }
      }
      case "load" -> {
        allowOnly(in, List.of("from", "in_flight"));
        String from = in.string("from");
        int inFlight = in.integer("in_flight", 0, MAX_IN_FLIGHT);
        if (from.isBlank() || from.length() > ReplicatedRecord.MAX_REQUEST_NAME_LENGTH) {
          throw new MalformedMessageException(
              "field from is not 1 to " + ReplicatedRecord.MAX_REQUEST_NAME_LENGTH + " characters");
        }
        if (inFlight == 0 || mayWake(name, reply)) {
          demand.reportInFlight(
              name, from, inFlight, answer -> reply.accept(answered(name, answer)));
        }
      }
      case "drain" -> {
        allowOnly(in, List.of("request", "by"));
        change(name, in, new ModelKind().command(Json.object("do", "drain")), reply);
      }
      default ->
          reply.accept(
              error(404, "unknown request " + action + "; there are wake, load and drain"));
    }
  }

  private static void allowOnly(JsonFields in, List<String> names)
      throws MalformedMessageException {
    for (String name : in.fieldNames()) {
      if (!names.contains(name)) {
        throw new MalformedMessageException(
            "unknown field "
                + name
                + (names.isEmpty() ? "" : "; there are " + String.join(", ", names)));
      }
    }
  }

  /** Whether the model's job can run; if not, responds with the reason. */
  private boolean mayWake(String name, Consumer<HttpResponse> reply) {
    JobRecord job = context.cache().job(records.book().state(name).job());
    if (job == null || job.phase() == JobPhase.OPEN) {
      return true;
    }
    reply.accept(
        error(
            409,
            "the job of model "
                + name
                + ", "
                + job.id()
                + ", is "
                + job.phase().toString().toLowerCase(Locale.ROOT)));
    return false;
  }

  private void define(String name, JsonFields in, Consumer<HttpResponse> reply)
      throws MalformedMessageException, MalformedRecordException {
    List<String> names = new ArrayList<>(LIMIT_FIELDS);
    names.addAll(List.of("request", "by"));
    allowOnly(in, names);
    Map<String, Object> command = Json.object("do", "define");
    LIMIT_FIELDS.forEach(
        field -> {
          if (in.has(field)) {
            command.put(field, in.raw(field));
          }
        });
    ModelCommand.Define define = (ModelCommand.Define) new ModelKind().command(command);
    JobRecord job = context.cache().job(define.job());
    String other = records.nameOf(define.job());
    if (job == null) {
      reply.accept(error(404, "no job " + define.job() + " is known here: submit it first"));
    } else if (job.phase() != JobPhase.OPEN || job.job() == null) {
      reply.accept(
          error(
              409,
              "job " + define.job() + " is " + job.phase().toString().toLowerCase(Locale.ROOT)));
    } else if (job.job().kind() == JobKind.ARRAY) {
      reply.accept(
          error(
              400,
              "job " + define.job() + " is an array: a model is a service, or a gang that serves"));
    } else if (define.limits().maxReplicas() > job.job().taskCount()) {
      reply.accept(
          error(
              400,
              "field most is "
                  + define.limits().maxReplicas()
                  + ", and job "
                  + define.job()
                  + " has "
                  + job.job().taskCount()
                  + " tasks"));
    } else if (job.job().kind() == JobKind.GANG
        && define.limits().minReplicas() != job.job().taskCount()) {
      reply.accept(
          error(
              400,
              "job "
                  + define.job()
                  + " is a gang: least is all of its "
                  + job.job().taskCount()
                  + " tasks"));
    } else if (other != null && !other.equals(name)) {
      reply.accept(error(409, "job " + define.job() + " is model " + other + " already"));
    } else {
      change(name, in, define, reply);
    }
  }

  private void change(
      String name, JsonFields in, ModelCommand command, Consumer<HttpResponse> reply)
      throws MalformedMessageException {
    String request = in.string("request");
    if (request.isBlank() || request.length() > ReplicatedRecord.MAX_REQUEST_NAME_LENGTH) {
      throw new MalformedMessageException(
          "field request is not 1 to " + ReplicatedRecord.MAX_REQUEST_NAME_LENGTH + " characters");
    }
    context
        .store()
        .submit(
            records.book(),
            name,
            new RecordCommand<>(request, -1, command, in.stringOr("by", "")),
            answer -> {
              if (answer.isDurable()) {
                reply.accept(
                    HttpResponse.of(
                        200,
                        Json.write(
                            Json.object(
                                "model",
                                name,
                                "change",
                                answer.change(),
                                "revision",
                                answer.revision().value(),
                                "note",
                                answer.reason().isEmpty() ? null : answer.reason()))));
              } else {
                reply.accept(
                    error(answer.status(), answer.reason()).withRetryAfter(answer.retryAfterS()));
              }
            });
  }

  private HttpResponse answered(String name, CommandResponse answer) {
    if (answer.status() != 200 && answer.status() != 202) {
      return error(answer.status(), answer.reason()).withRetryAfter(answer.retryAfterS());
    }
    return HttpResponse.of(answer.status(), Json.write(show(name)));
  }

  private HttpResponse list() {
    List<Object> rows = new ArrayList<>();
    for (Map.Entry<String, ReplicatedRecordIndex.Held<Model>> each :
        records.book().all().entrySet()) {
      records
          .book()
          .kind()
          .rows(each.getKey(), each.getValue().state(), context.at())
          .forEach(
              row -> {
                row.put("running", running.applyAsInt(each.getValue().state().job()));
                rows.add(row);
              });
    }
    return HttpResponse.of(
        200,
        Json.write(
            Json.object(
                "rows",
                rows,
                "wakes",
                demand.counts().get("wakes"),
                "asked",
                demand.counts().get("asked"))));
  }

  private Map<String, Object> show(String name) {
    Model model = records.book().state(name);
    JobRecord record = context.cache().job(model.job());
    int runningTasks = running.applyAsInt(model.job());
    Map<String, Object> out =
        Json.object(
            "model",
            name,
            "job",
            model.job().text(),
            "state",
            model.phase().toString().toLowerCase(Locale.ROOT),
            "epoch",
            model.epoch(),
            "wanted",
            model.desiredReplicas(),
            "running",
            runningTasks,
            "why",
            model.reason(),
            "in_flight_here",
            demand.inFlight(name));
    if (record != null && record.job() != null && record.phase() == JobPhase.OPEN) {
      double elapsedS = Math.max(0, (context.at().timeOfDayMs() - model.phaseSinceMs()) / 1000.0);
      ModelPlacementView.Estimate estimate =
          model.phase() == Model.Phase.WARM && runningTasks > 0
              ? new ModelPlacementView.Estimate(0, 0)
              : model.isUp()
                  ? placementView.estimate(record.job(), model, elapsedS, context.timers().now())
                  : placementView.estimate(record.job(), context.timers().now());
      if (!Double.isInfinite(estimate.worstS())) {
        out.put("ready_in_s", Math.round(10 * estimate.bestS()) / 10.0);
        out.put("ready_by_s", Math.round(10 * estimate.worstS()) / 10.0);
      }
    }
    List<Object> placements = new ArrayList<>();
    model
        .placements()
        .forEach(
            (replica, placement) ->
                placements.add(
                    Json.object(
                        "replica",
                        replica,
                        "machine",
                        placement.machine().text(),
                        "epoch",
                        placement.epoch())));
    out.put("places", placements);
    out.put("least", model.limits().minReplicas());
    out.put("most", model.limits().maxReplicas());
    out.put("per_replica", model.limits().requestsPerReplica());
    out.put("idle_s", model.limits().idleTimeout().seconds());
    out.put("keep_warm", model.limits().cachedMachines());
    return out;
  }
}
