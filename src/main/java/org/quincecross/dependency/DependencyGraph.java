package org.quincecross.dependency;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Revision;

/**
 * Which jobs wait for which, and what follows for each from the records of the others: a job may
 * run once all that it waits on are done, and is cancelled once one of them is, whether by its own
 * record or in turn. Both follow from the records alone, in whatever order they are read, and
 * nothing is written for them.
 *
 * <p>A job that is cancelled so never had a task: its tasks may run only once all before it are
 * done, and what is done never becomes cancelled.
 *
 * <p>A change costs the jobs whose standing it changes, and the links between them. Only jobs with
 * a link take memory here.
 */
public final class DependencyGraph {
  /**
   * What a job's own record says; {@code cancelledMs}: the time of day at which it was cancelled,
   * or 0.
   */
  public record Own(JobPhase phase, Revision version, long cancelledMs) {}

  /**
   * Why a job is cancelled without a record that says so.
   *
   * @param since the revision from which on it is: of the first cancellation among the jobs before
   *     it, or its own acceptance if later
   * @param atMs the time of day of that cancellation
   */
  public record Cancellation(Revision since, long atMs) {
    private boolean isBefore(Cancellation other) {
      return other == null || other.since.isAfter(since);
    }
  }

  private static final class Node {
    /** The jobs not done that this one waits on; none once its own record is final. */
    private Set<JobId> needs = Set.of();

    private final Set<JobId> followers = new HashSet<>(2);
    private boolean isPartlyKnown;

    /** By its own record or by derivation. */
    private Cancellation cancelled;
  }

  private final Function<JobId, Own> records;
  private final Map<JobId, Node> nodes = new HashMap<>();

  /**
   * @param records what is on record of a job, null where nothing is
   */
  public DependencyGraph(Function<JobId, Own> records) {
    this.records = records;
  }

  /**
   * A job's record is new or has changed, or is the same once more.
   *
   * @param complete false while not all that the job waits on is known: it waits at least until it
   *     is
   * @param changed told of other jobs whose standing has changed
   */
  public void put(JobId id, Collection<JobId> waitsOn, boolean complete, Consumer<JobId> changed) {
    Node node = nodes.get(id);
    if (node == null && waitsOn.isEmpty() && complete) {
      return; // nothing is linked to it
    }
    node = node == null ? node(id) : node;
    Own own = records.apply(id);
    Set<JobId> needs = new HashSet<>(2);
    if (own.phase() == JobPhase.OPEN) {
      for (JobId before : waitsOn) {
        if (!isDone(before)) {
          needs.add(before);
        }
      }
    }
    for (JobId before : List.copyOf(node.needs)) {
      if (!needs.contains(before)) {
        unlink(before, id);
      }
    }
    for (JobId before : needs) {
      node(before).followers.add(id);
    }
    node.needs = needs.isEmpty() ? Set.of() : needs;
    node.isPartlyKnown = own.phase() == JobPhase.OPEN && !complete;
    Cancellation was = node.cancelled;
    node.cancelled = cancellation(id, node);
    if (own.phase() == JobPhase.DONE) {
      release(id, was, changed);
    } else if (!Objects.equals(was, node.cancelled)) {
      tell(id, was, changed);
    }
    forgetIfBare(id);
  }

  private Node node(JobId id) {
    Node node = nodes.get(id);
    if (node == null) {
      node = new Node();
      nodes.put(id, node);
      node.cancelled = cancellation(id, node);
    }
    return node;
  }

  private boolean isDone(JobId id) {
    Own own = records.apply(id);
    return own != null && own.phase() == JobPhase.DONE;
  }

  private Cancellation cancellation(JobId id, Node node) {
    Own own = records.apply(id);
    if (own == null || own.phase() == JobPhase.DONE) {
      return null;
    }
    if (own.phase() == JobPhase.CANCELLED) {
      return new Cancellation(own.version(), own.cancelledMs());
    }
    Cancellation first = null;
    for (JobId before : node.needs) {
      Cancellation its = nodes.get(before).cancelled;
      first = its != null && its.isBefore(first) ? its : first;
    }
    return first == null ? null : notBefore(own.version(), first);
  }

  private static Cancellation notBefore(Revision accepted, Cancellation cause) {
    return accepted.isAfter(cause.since()) ? new Cancellation(accepted, cause.atMs()) : cause;
  }

  /** A job is done: those that it alone kept from running may. */
  private void release(JobId id, Cancellation was, Consumer<JobId> changed) {
    Node node = nodes.get(id);
    for (JobId follower : List.copyOf(node.followers)) {
      Node its = nodes.get(follower);
      its.needs.remove(id);
      node.followers.remove(follower);
      if (its.needs.isEmpty() && !its.isPartlyKnown) {
        changed.accept(follower);
      }
      if (was != null) {
        Cancellation before = its.cancelled; // it was cancelled by a record that has been replaced
        its.cancelled = cancellation(follower, its);
        if (!Objects.equals(before, its.cancelled)) {
          changed.accept(follower);
          tell(follower, before, changed);
        }
      }
      forgetIfBare(follower);
    }
  }

  private record News(JobId id, Cancellation was) {}

  /**
   * Carries a cancellation on to all that need the job, one step after the other: chains may be of
   * any length.
   */
  private void tell(JobId first, Cancellation firstWas, Consumer<JobId> changed) {
    ArrayDeque<News> toTell = new ArrayDeque<>(List.of(new News(first, firstWas)));
    while (!toTell.isEmpty()) {
      News news = toTell.poll();
      Cancellation cause = nodes.get(news.id).cancelled;
      for (JobId follower : nodes.get(news.id).followers) {
        Node its = nodes.get(follower);
        Cancellation before = its.cancelled;
        if (news.was != null) {
          its.cancelled = cancellation(follower, its);
        } else if (cause != null && cause.isBefore(before)) {
          its.cancelled = notBefore(records.apply(follower).version(), cause);
        }
        if (!Objects.equals(before, its.cancelled)) {
          changed.accept(follower);
          toTell.add(new News(follower, before));
        }
      }
    }
  }

  private void unlink(JobId before, JobId follower) {
    Node node = nodes.get(before);
    if (node != null) {
      node.followers.remove(follower);
      forgetIfBare(before);
    }
  }

  private void forgetIfBare(JobId id) {
    Node node = nodes.get(id);
    if (node != null && node.followers.isEmpty() && node.needs.isEmpty() && !node.isPartlyKnown) {
      nodes.remove(id);
    }
  }

  /** Why a job whose own record is open is cancelled all the same; null where it is not. */
  public Cancellation cancelled(JobId id) {
    Node node = nodes.get(id);
    return node == null ? null : node.cancelled;
  }

  /** Whether a job that is on record may not run yet. */
  public boolean waits(JobId id) {
    Node node = nodes.get(id);
    return node != null && (node.isPartlyKnown || !node.needs.isEmpty());
  }

  /** The jobs that are not done that a job waits on, in the order of their ids. */
  public Collection<JobId> unfinished(JobId id) {
    Node node = nodes.get(id);
    return node == null ? List.of() : new TreeSet<>(node.needs);
  }

  Set<JobId> followersOf(JobId id) {
    Node node = nodes.get(id);
    return node == null ? Set.of() : node.followers;
  }

  Set<JobId> needsOf(JobId id) {
    Node node = nodes.get(id);
    return node == null ? Set.of() : node.needs;
  }

  public boolean hasFollowers(JobId id) {
    Node node = nodes.get(id);
    return node != null && !node.followers.isEmpty();
  }

  /** How many jobs are kept here: what the links take in memory. */
  public int size() {
    return nodes.size();
  }
}
