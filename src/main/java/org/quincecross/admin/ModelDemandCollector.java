package org.quincecross.admin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.ClusterDemand;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.ModelCommand;
import org.quincecross.modelserving.ModelDemand;
import org.quincecross.modelserving.ModelKind;
import org.quincecross.peer.ModelStatusReport;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.replicated.RecordId;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.CommandResponse;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.RecordCommand;
import org.quincecross.state.ReplicatedRecordIndex;

/**
 * Collects the demand for models on one controller. Wake requests are joined: however many arrive,
 * one command is sent until the record shows the model up, and all callers are answered together.
 * The demand is reported to the leader.
 */
public final class ModelDemandCollector {
  /** Retry interval of a wake command that could not be made durable. */
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.ofMillis(500);

  /**
   * Upper limit of callers waiting for the same wake command; others are told at once that it is on
   * its way.
   */
  private static final int MAX_WAITING = 256;

  /** Models whose idle time exceeds this multiple of their idle timeout are dropped here. */
  private static final double DROP_AFTER_IDLE_TIMEOUTS = 2;

  private final ReplicatedFeatureContext context;
  private final ModelIndex records;
  private final BiFunction<JobId, Integer, Boolean> runsHere;
  private final MonotonicTime observedSince;
  private final Map<String, ModelDemand> demands = new TreeMap<>();
  private final Map<String, List<Consumer<CommandResponse>>> waiting = new HashMap<>();
  private final Set<String> submitting = new HashSet<>();
  private long wakes;
  private long submitted;

  /**
   * @param runsHere whether a replica runs in a shard of this controller
   */
  public ModelDemandCollector(
      ReplicatedFeatureContext context,
      ModelIndex records,
      BiFunction<JobId, Integer, Boolean> runsHere) {
    this.context = context;
    this.records = records;
    this.runsHere = runsHere;
    this.observedSince = context.timers().now();
  }

  /** Starts retrying wake commands that are still pending. */
  public void start() {
    context
        .timers()
        .every(RETRY_INTERVAL, () -> List.copyOf(demands.keySet()).forEach(this::submitIfWanted));
  }

  /**
   * Returns how many wake requests have arrived here, and how many wake commands were sent for
   * them.
   */
  public Map<String, Long> counts() {
    return Map.of("wakes", wakes, "asked", submitted);
  }

  /** Returns the in-flight requests of callers of this controller. */
  public int inFlight(String name) {
    ModelDemand demand = demands.get(name);
    return demand == null ? 0 : demand.inFlight(context.timers().now());
  }

  /** Called when records have changed. */
  public void cacheChanged(ClusterStateCache.Changes changes) {
    MonotonicTime now = context.timers().now();
    if (changes.reloaded()) {
      demands.forEach((name, demand) -> demand.update(records.book().state(name), now));
    } else {
      for (RecordId record : changes.replicatedRecords()) {
        ModelDemand demand = record.kind().equals(ModelKind.NAME) ? demands.get(record.id()) : null;
        if (demand != null) {
          demand.update(records.book().state(record.id()), now);
        }
      }
    }
    if (!changes.replicatedRecords().isEmpty() || changes.reloaded()) {
      List.copyOf(demands.keySet()).forEach(this::submitIfWanted);
    }
  }

  private ModelDemand demand(String name) {
    return demands.computeIfAbsent(
        name,
        id -> {
          ModelDemand demand = new ModelDemand(observedSince);
          demand.update(records.book().state(id), context.timers().now());
          return demand;
        });
  }

  /**
   * Requests a model that is defined; {@code done} is called when the wake is durable, or at once
   * if the record shows the model up.
   */
  public void wake(String name, Consumer<CommandResponse> done) {
    wakes++;
    ModelDemand demand = demand(name);
    demand.wake(context.timers().now());
    awaitUp(name, demand, done);
  }

  /** Records the in-flight requests of a caller. */
  public void reportInFlight(
      String name, String caller, int inFlight, Consumer<CommandResponse> done) {
    ModelDemand demand = demand(name);
    demand.reportInFlight(caller, inFlight, context.timers().now());
    awaitUp(name, demand, done);
  }

  private void awaitUp(String name, ModelDemand demand, Consumer<CommandResponse> done) {
    if (demand.state() == ModelDemand.State.SATISFIED) {
      done.accept(new CommandResponse(200, "", 0, Revision.NONE, 0));
      return;
    }
    List<Consumer<CommandResponse>> callers =
        waiting.computeIfAbsent(name, id -> new ArrayList<>());
    if (callers.size() >= MAX_WAITING) {
      done.accept(new CommandResponse(202, "it has been asked for", 0, Revision.NONE, 1));
    } else {
      callers.add(done);
      submitIfWanted(name);
    }
  }

  private void submitIfWanted(String name) {
    ModelDemand demand = demands.get(name);
    if (demand.state() != ModelDemand.State.WANTED || !submitting.add(name)) {
      return;
    }
    submitted++;
    context
        .store()
        .submit(
            records.book(),
            name,
            RecordCommand.internal(new ModelCommand.Wake()),
            answer -> {
              submitting.remove(name);
              if (answer.status() >= 400 && answer.status() < 500) {
                demand.wakeRejected();
              }
              List<Consumer<CommandResponse>> callers = waiting.remove(name);
              if (callers != null) {
                callers.forEach(done -> done.accept(answer));
              }
            });
  }

  /**
   * Returns the section on models for reports to other controllers, or null if there are no models.
   */
  public byte[] section() {
    if (records.book().all().isEmpty()) {
      return null;
    }
    MonotonicTime now = context.timers().now();
    Map<String, ClusterDemand.ModelReport> reports = new LinkedHashMap<>();
    demands
        .entrySet()
        .removeIf(
            each -> {
              Model model = records.book().state(each.getKey());
              return !model.isDefined()
                  || (each.getValue().state() == ModelDemand.State.SATISFIED
                      && !model.isUp()
                      && each.getValue()
                          .idleTime(now)
                          .isLongerThan(
                              model.limits().idleTimeout().times(DROP_AFTER_IDLE_TIMEOUTS)));
            });
    demands.forEach(
        (name, demand) ->
            reports.put(
                name, new ClusterDemand.ModelReport(demand.inFlight(now), demand.idleTime(now))));
    Set<TaskId> running = new HashSet<>();
    for (ReplicatedRecordIndex.Held<Model> held : records.book().all().values()) {
      held.state()
          .placements()
          .keySet()
          .forEach(
              replica -> {
                if (runsHere.apply(held.state().job(), replica)) {
                  running.add(held.state().job().task(replica));
                }
              });
    }
    return new ModelStatusReport(now.since(observedSince), reports, running).write();
  }
}
