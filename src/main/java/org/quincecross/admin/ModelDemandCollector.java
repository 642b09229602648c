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
  private static final TimeSpan AGAIN = TimeSpan.ofMillis(500);

  /**
   * Upper limit of callers waiting for the same wake command; others are told at once that it is on
   * its way.
   */
  private static final int MOST_WAITING = 256;

  /** Models whose idle time exceeds this multiple of their idle timeout are dropped here. */
  private static final double FORGOTTEN_AFTER = 2;

  private final ReplicatedFeatureContext base;
  private final ModelIndex records;
  private final BiFunction<JobId, Integer, Boolean> runsHere;
  private final MonotonicTime begun;
  private final Map<String, ModelDemand> demands = new TreeMap<>();
  private final Map<String, List<Consumer<CommandResponse>>> waiting = new HashMap<>();
  private final Set<String> asking = new HashSet<>();
  private long wakes;
  private long asked;

  /**
   * @param runsHere whether a replica runs in a shard of this controller
   */
  public ModelDemandCollector(
      ReplicatedFeatureContext base,
      ModelIndex records,
      BiFunction<JobId, Integer, Boolean> runsHere) {
    this.base = base;
    this.records = records;
    this.runsHere = runsHere;
    this.begun = base.timers().now();
  }

  /** Starts retrying wake commands that are still pending. */
  public void start() {
    base.timers().every(AGAIN, () -> List.copyOf(demands.keySet()).forEach(this::askIfWanted));
  }

  /**
   * Returns how many wake requests have arrived here, and how many wake commands were sent for
   * them.
   */
  public Map<String, Long> counts() {
    return Map.of("wakes", wakes, "asked", asked);
  }

  /** Returns the in-flight requests of callers of this controller. */
  public int inFlight(String name) {
    ModelDemand demand = demands.get(name);
    return demand == null ? 0 : demand.inFlight(base.timers().now());
  }

  /** Called when records have changed. */
  public void ledgerChanged(ClusterStateCache.Changes changes) {
    MonotonicTime now = base.timers().now();
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
      List.copyOf(demands.keySet()).forEach(this::askIfWanted);
    }
  }

  private ModelDemand demand(String name) {
    return demands.computeIfAbsent(
        name,
        id -> {
          ModelDemand demand = new ModelDemand(begun);
          demand.update(records.book().state(id), base.timers().now());
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
    demand.wake(base.timers().now());
    wait(name, demand, done);
  }

  /** Records the in-flight requests of a caller. */
  public void told(String name, String caller, int inFlight, Consumer<CommandResponse> done) {
    ModelDemand demand = demand(name);
    demand.reportInFlight(caller, inFlight, base.timers().now());
    wait(name, demand, done);
  }

  private void wait(String name, ModelDemand demand, Consumer<CommandResponse> done) {
    if (demand.state() == ModelDemand.State.SATISFIED) {
      done.accept(new CommandResponse(200, "", 0, Revision.NONE, 0));
      return;
    }
    List<Consumer<CommandResponse>> all = waiting.computeIfAbsent(name, id -> new ArrayList<>());
    if (all.size() >= MOST_WAITING) {
      done.accept(new CommandResponse(202, "it has been asked for", 0, Revision.NONE, 1));
    } else {
      all.add(done);
      askIfWanted(name);
    }
  }

  private void askIfWanted(String name) {
    ModelDemand demand = demands.get(name);
    if (demand.state() != ModelDemand.State.WANTED || !asking.add(name)) {
      return;
    }
    asked++;
    base.store()
        .submit(
            records.book(),
            name,
            RecordCommand.own(new ModelCommand.Wake()),
            answer -> {
              asking.remove(name);
              if (answer.status() >= 400 && answer.status() < 500) {
                demand.wakeRejected();
              }
              List<Consumer<CommandResponse>> all = waiting.remove(name);
              if (all != null) {
                all.forEach(done -> done.accept(answer));
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
    MonotonicTime now = base.timers().now();
    Map<String, ClusterDemand.ModelReport> told = new LinkedHashMap<>();
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
                          .isLongerThan(model.limits().idleTimeout().times(FORGOTTEN_AFTER)));
            });
    demands.forEach(
        (name, demand) ->
            told.put(
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
    return new ModelStatusReport(now.since(begun), told, running).write();
  }
}
