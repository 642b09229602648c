package org.quincecross.dependency;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Revision;

/**
 * Explores all states of three dependent jobs and two controllers that read, lead, accept,
 * allocate, start, cancel and write results; one of them may lose its memory, and transactions are
 * applied at any later time. A transaction fails once one of its keys has been written after its
 * controller last read, so no versions are counted and the states are finite. Waiting and derived
 * cancellation come from {@link DependencyGraph}.
 */
class DependencyModelTest {
  private static final int JOBS = 3;
  private static final int NODES = 2;
  private static final int NONE = 0;
  private static final int OPEN = 1;
  private static final int DONE = 2;
  private static final int CANCELLED = 3;
  private static final int LEADER_KEY = 1;

  /**
   * Protocol rules that can be disabled, to show that the search finds a violation without each of
   * them.
   */
  private enum Guard {
    /**
     * The leader does not allocate, and the shard owner does not start, tasks of a waiting job;
     * either alone is sufficient.
     */
    LEADER_OR_OWNER_WAITS,
    /**
     * A job is released by the record that its dependency is done, not by the ends of that job's
     * tasks.
     */
    RELEASED_BY_RECORD,
    /** A result is written on condition that the job's record is unchanged. */
    DONE_BY_RECORD,
    /** A cancellation is written on condition that the job's record is unchanged. */
    CANCEL_BY_RECORD,
    /** A job is accepted on condition that it has no record. */
    ACCEPT_BY_RECORD,
    /** A cancelled dependency cancels the job. */
    CANCELLED_WITH_OTHERS
  }

  private enum Kind {
    NOTHING,
    ACCEPT,
    CANCEL,
    ALLOCATE,
    FINISH
  }

  /** The graphs: a chain, and a job with two dependencies. */
  private static final List<List<Set<Integer>>> GRAPHS =
      List.of(List.of(Set.of(), Set.of(0), Set.of(1)), List.of(Set.of(), Set.of(), Set.of(0, 1)));

  /** The stored records, or what a controller last read of them. */
  private static final class Records implements Cloneable {
    private int[] job = new int[JOBS];
    private boolean[] allocated = new boolean[JOBS];
    private int leader;

    private Records copy() {
      Records copy = new Records();
      copy.job = job.clone();
      copy.allocated = allocated.clone();
      copy.leader = leader;
      return copy;
    }

    private long key() {
      long key = leader;
      for (int j = 0; j < JOBS; j++) {
        key = key << 3 | job[j] << 1 | (allocated[j] ? 1 : 0);
      }
      return key;
    }
  }

  private static final class State {
    private Records durable = new Records();
    private Records[] seen = {new Records(), new Records()};

    /**
     * The keys that have changed since this controller last read, as bits: leadership, then jobs,
     * then allocations.
     */
    private int[] stale = new int[NODES];

    private Kind[] pending = {Kind.NOTHING, Kind.NOTHING};
    private int[] pendingOf = new int[NODES];
    private int ended;
    private int reportedCancelled;

    private State copy() {
      State copy = new State();
      copy.durable = durable.copy();
      copy.seen = new Records[] {seen[0].copy(), seen[1].copy()};
      copy.stale = stale.clone();
      copy.pending = pending.clone();
      copy.pendingOf = pendingOf.clone();
      copy.ended = ended;
      copy.reportedCancelled = reportedCancelled;
      return copy;
    }

    private List<Long> key() {
      long rest = 0;
      for (int n = 0; n < NODES; n++) {
        rest =
            (rest << 7 | stale[n]) << 5
                | pending[n].ordinal() * JOBS + (pending[n] == Kind.NOTHING ? 0 : pendingOf[n]);
      }
      return List.of(
          durable.key() << 40 | seen[0].key() << 20 | seen[1].key(),
          (rest << JOBS | ended) << JOBS | reportedCancelled);
    }
  }

  private final Map<Long, long[]> derived = new HashMap<>();
  private Set<Guard> guards = EnumSet.allOf(Guard.class);
  private List<Set<Integer>> graph;
  private String violation;

  private static int recordKey(int job) {
    return 2 << job;
  }

  private static int allocationKey(int job) {
    return 16 << job;
  }

  /**
   * What {@link DependencyGraph} derives from records: bits of the waiting jobs, and of the
   * cancelled ones.
   */
  private long[] derive(Records records) {
    long key = records.key();
    return derived.computeIfAbsent(
        key,
        k -> {
          Map<JobId, DependencyGraph.JobState> own = new HashMap<>();
          DependencyGraph graphOfRecords = new DependencyGraph(own::get);
          for (int j = 0; j < JOBS; j++) {
            if (records.job[j] != NONE) {
              own.put(
                  id(j),
                  new DependencyGraph.JobState(
                      JobPhase.values()[records.job[j] - 1], new Revision(1), 0));
            }
          }
          for (int j = JOBS - 1; j >= 0; j--) {
            if (records.job[j] != NONE) {
              graphOfRecords.put(
                  id(j),
                  graph.get(j).stream().map(DependencyModelTest::id).toList(),
                  true,
                  other -> {});
            }
          }
          long waits = 0;
          long cancelled = 0;
          for (int j = 0; j < JOBS; j++) {
            waits |= graphOfRecords.isWaiting(id(j)) ? 1L << j : 0;
            boolean with =
                records.job[j] == OPEN
                    && graphOfRecords.cancelled(id(j)) != null
                    && guards.contains(Guard.CANCELLED_WITH_OTHERS);
            cancelled |= records.job[j] == CANCELLED || with ? 1L << j : 0;
          }
          return new long[] {waits, cancelled};
        });
  }

  private static JobId id(int number) {
    return new JobId("job-" + number);
  }

  private boolean mayRun(State state, Records records, int job) {
    boolean isCancelled = (derive(records)[1] >> job & 1) != 0;
    if (records.job[job] != OPEN || isCancelled) {
      return false;
    }
    if (!guards.contains(Guard.LEADER_OR_OWNER_WAITS) || (derive(records)[0] >> job & 1) == 0) {
      return true;
    }
    return !guards.contains(Guard.RELEASED_BY_RECORD)
        && graph.get(job).stream().allMatch(before -> (state.ended >> before & 1) != 0);
  }

  private void changed(State state, int key) {
    for (int n = 0; n < NODES; n++) {
      state.stale[n] |= key;
      if ((guardsOf(state.pending[n], state.pendingOf[n]) & key) != 0) {
        state.pending[n] = Kind.NOTHING;
      }
    }
  }

  private int guardsOf(Kind kind, int job) {
    return switch (kind) {
      case NOTHING -> 0;
      case ACCEPT -> guards.contains(Guard.ACCEPT_BY_RECORD) ? recordKey(job) : 0;
      case CANCEL -> guards.contains(Guard.CANCEL_BY_RECORD) ? recordKey(job) : 0;
      case ALLOCATE -> LEADER_KEY | allocationKey(job);
      case FINISH -> LEADER_KEY | (guards.contains(Guard.DONE_BY_RECORD) ? recordKey(job) : 0);
    };
  }

  private void plan(State state, int node, Kind kind, int job, Consumer<State> next) {
    if (state.pending[node] == Kind.NOTHING && (guardsOf(kind, job) & state.stale[node]) == 0) {
      State planned = state.copy();
      planned.pending[node] = kind;
      planned.pendingOf[node] = job;
      next.accept(planned);
    }
  }

  private void commit(State state, int node) {
    int job = state.pendingOf[node];
    Kind kind = state.pending[node];
    state.pending[node] = Kind.NOTHING;
    switch (kind) {
      case ALLOCATE -> {
        state.durable.allocated[job] = true;
        changed(state, allocationKey(job));
      }
      case ACCEPT, CANCEL, FINISH -> {
        state.durable.job[job] =
            kind == Kind.ACCEPT ? OPEN : kind == Kind.CANCEL ? CANCELLED : DONE;
        changed(state, recordKey(job));
      }
      default -> throw new IllegalStateException(kind.toString());
    }
  }

  private void steps(State state, Consumer<State> next) {
    for (int n = 0; n < NODES; n++) {
      Records seen = state.seen[n];
      State read = state.copy();
      read.seen[n] = state.durable.copy();
      read.stale[n] = 0;
      next.accept(read);
      if (state.durable.leader != n) {
        State leads = state.copy();
        leads.durable.leader = n;
        changed(leads, LEADER_KEY);
        next.accept(leads);
      }
      if (n == 0) {
        State forgets = state.copy();
        forgets.seen[n] = new Records();
        forgets.seen[n].leader = 1;
        forgets.stale[n] = 127;
        next.accept(forgets);
      }
      if (state.pending[n] != Kind.NOTHING) {
        State late = state.copy();
        commit(late, n);
        next.accept(late);
      }
      long cancelled = derive(seen)[1];
      for (int j = 0; j < JOBS; j++) {
        boolean openHere = seen.job[j] == OPEN && (cancelled >> j & 1) == 0;
        if (seen.job[j] == NONE
            && graph.get(j).stream().allMatch(before -> seen.job[before] != NONE)) {
          plan(state, n, Kind.ACCEPT, j, next);
        }
        if (openHere) {
          plan(state, n, Kind.CANCEL, j, next);
        }
        if (seen.leader == n && mayRun(state, seen, j) && !seen.allocated[j]) {
          plan(state, n, Kind.ALLOCATE, j, next);
        }
        if (seen.leader == n && openHere && (state.ended >> j & 1) != 0) {
          plan(state, n, Kind.FINISH, j, next);
        }
        if (mayRun(state, seen, j) && seen.allocated[j] && (state.ended >> j & 1) == 0) {
          started(state, j);
          State ends = state.copy();
          ends.ended |= 1 << j;
          next.accept(ends);
        }
        if ((cancelled >> j & 1) != 0 && (state.reportedCancelled >> j & 1) == 0) {
          State reported = state.copy();
          reported.reportedCancelled |= 1 << j;
          next.accept(reported);
        }
      }
    }
  }

  private void started(State state, int job) {
    for (int before : graph.get(job)) {
      if (state.durable.job[before] != DONE) {
        violation = "job " + job + " starts before its dependency is done";
      }
    }
  }

  /**
   * Checks that what users were told stays true, and that the dependents of a cancelled job are
   * cancelled and never done.
   */
  private void check(State state) {
    long cancelled = derive(state.durable)[1];
    if ((state.reportedCancelled & ~cancelled) != 0) {
      violation = "a job was reported as cancelled and is not";
    }
    for (int j = 0; j < JOBS; j++) {
      for (int before : graph.get(j)) {
        boolean isOver = state.durable.job[before] == CANCELLED;
        if (isOver && state.durable.job[j] != NONE && (cancelled >> j & 1) == 0) {
          violation =
              "job "
                  + j
                  + " is called "
                  + (state.durable.job[j] == DONE ? "done" : "open")
                  + " although its dependency is cancelled";
        }
      }
    }
  }

  private int explore(List<Set<Integer>> jobs) {
    graph = jobs;
    derived.clear();
    violation = null;
    Set<List<Long>> known = new HashSet<>();
    ArrayDeque<State> open = new ArrayDeque<>();
    State first = new State();
    if (jobs.get(1)
        .isEmpty()) { // how jobs without dependencies were accepted is irrelevant, so the search
      // starts with them open
      first.durable.job = new int[] {OPEN, OPEN, NONE};
      first.seen = new Records[] {first.durable.copy(), first.durable.copy()};
    }
    known.add(first.key());
    open.add(first);
    while (!open.isEmpty() && violation == null) {
      steps(
          open.poll(),
          next -> {
            if (violation == null && known.add(next.key())) {
              check(next);
              open.add(next);
            }
          });
      assertTrue(known.size() < 6_000_000, "more states than the search limit");
    }
    return known.size();
  }

  @Test
  void dependentsStartOnlyAfterAndAreCancelledWithDependencies() {
    for (List<Set<Integer>> jobs : GRAPHS) {
      int states = explore(jobs);
      assertNull(violation);
      assertTrue(states > 100_000, states + " states");
    }
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void disablingAnyGuardCausesViolation(Guard without) {
    guards = EnumSet.complementOf(EnumSet.of(without));
    explore(GRAPHS.get(0));
    assertNotNull(violation);
  }
}
