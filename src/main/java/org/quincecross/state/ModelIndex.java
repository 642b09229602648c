package org.quincecross.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskSet;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.ModelCommand;
import org.quincecross.modelserving.ModelKind;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.StartBlock;

/** The models by their jobs: which replicas may not start, and on which machines the others may. */
public final class ModelIndex implements StartBlock {
  private record Kept(Model model, TaskSet tasks) {}

  private final ReplicatedRecordIndex<Model, ModelCommand> index;
  private final Map<JobId, String> names = new HashMap<>();
  private final Map<String, JobId> jobs = new HashMap<>();
  private final Map<JobId, Kept> kept = new HashMap<>();

  /** Creates an index and registers the kind of model records. */
  public ModelIndex(ClusterStateCache cache) {
    this.index = cache.replicatedRecords().add(new ModelKind());
  }

  /** The records of all models. */
  public ReplicatedRecordIndex<Model, ModelCommand> book() {
    return index;
  }

  /**
   * Follows the records; {@code changed} is notified of jobs whose set of blocked replicas changed.
   */
  public void ledgerChanged(ClusterStateCache.Changes changes, Consumer<Set<JobId>> changed) {
    Set<JobId> touched = new HashSet<>();
    if (changes.reloaded()) {
      Set<String> all = new HashSet<>(index.all().keySet());
      all.addAll(jobs.keySet());
      all.forEach(id -> take(id, touched));
    } else {
      for (RecordId record : changes.replicatedRecords()) {
        if (record.kind().equals(ModelKind.NAME)) {
          take(record.id(), touched);
        }
      }
    }
    if (!touched.isEmpty()) {
      changed.accept(touched);
    }
  }

  private void take(String id, Set<JobId> touched) {
    Model model = index.state(id);
    JobId before = model.isDefined() ? jobs.put(id, model.job()) : jobs.remove(id);
    if (before != null) {
      touched.add(before);
      names.remove(before, id);
    }
    if (model.isDefined()) {
      touched.add(model.job());
      names.put(model.job(), id);
    }
  }

  /** The name of the model that a job serves, or null. */
  public String nameOf(JobId job) {
    return names.get(job);
  }

  /** The model that a job serves, or null. */
  public Model of(JobId job) {
    String name = names.get(job);
    return name == null ? null : index.state(name);
  }

  @Override
  // A model that was read again is a new instance; comparing instances is cheaper than comparing
  // fields.
  @SuppressWarnings("ReferenceEquality")
  public TaskSet blockedTasks(Job job) {
    Model model = of(job.id());
    if (model == null) {
      return NONE.blockedTasks(job);
    }
    Kept last = kept.get(job.id());
    if (last == null || last.model != model) {
      last = new Kept(model, model.blockedReplicas(job.taskCount()));
      kept.put(job.id(), last);
    }
    return last.tasks;
  }

  @Override
  public String reason(JobId job) {
    Model model = of(job);
    return model == null
        ? null
        : "model "
            + names.get(job)
            + " is "
            + model.phase()
            + ", "
            + model.placements().size()
            + " of "
            + model.desiredReplicas()
            + " wanted replicas have a machine";
  }

  /**
   * The machines that a task may start on; null if its job serves no model. A gang may use the
   * machines of all its tasks.
   */
  public Set<MachineId> places(Job job, int index) {
    Model model = of(job.id());
    if (model == null) {
      return null;
    }
    if (job.kind() == JobKind.GANG) {
      Set<MachineId> all = new HashSet<>();
      model.placements().values().forEach(place -> all.add(place.machine()));
      return all;
    }
    Model.Placement place = model.placements().get(index);
    return place == null ? Set.of() : Set.of(place.machine());
  }
}
