package org.quincecross.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.quincecross.legalhold.LegalHold;
import org.quincecross.legalhold.LegalHoldCommand;
import org.quincecross.legalhold.TaskListing;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.state.RecordCommand;
import org.quincecross.state.ReplicatedRecordIndex;
import org.quincecross.state.TerminationProof;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's reconciliation of legal holds: it puts due holds into effect, records which tasks
 * accessed the held records, and pins a hold once it is proven that no such task runs or can start.
 * Each step is a command of its own with the record's version as a precondition, so a concurrent
 * former leader does no harm.
 */
public final class LegalHoldReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(LegalHoldReconciler.class);
  private static final TimeSpan INTERVAL = TimeSpan.ofMillis(250);

  /** The maximum number of pending commands, which leaves room for commands from outside. */
  private static final int MAX_PENDING_COMMANDS = 24;

  /** The minimum interval between two notes of blocked tasks for one hold. */
  private static final TimeSpan NOTE_INTERVAL = TimeSpan.ofSeconds(60);

  private final ReplicatedFeatureContext base;
  private final LegalHoldStartBlock startBlock;
  private final BooleanSupplier leading;
  private final Set<String> open = new LinkedHashSet<>();
  private final Set<String> toNote = new LinkedHashSet<>();
  private final Set<String> pendingCommands = new HashSet<>();
  private final Map<String, MonotonicTime> noted = new HashMap<>();
  private boolean wasLeading;

  /**
   * Creates a reconciler.
   *
   * @param leading whether this controller leads
   */
  public LegalHoldReconciler(
      ReplicatedFeatureContext base, LegalHoldStartBlock startBlock, BooleanSupplier leading) {
    this.base = base;
    this.startBlock = startBlock;
    this.leading = leading;
    base.timers().every(INTERVAL, this::evaluate);
  }

  private void evaluate() {
    boolean leads = leading.getAsBoolean();
    if (leads && !wasLeading) {
      open.addAll(startBlock.holds().all().keySet());
    }
    wasLeading = leads;
    open.addAll(startBlock.takeChangedHolds());
    if (!leads || (open.isEmpty() && toNote.isEmpty())) {
      return;
    }
    for (String reference : List.copyOf(open)) {
      if (pendingCommands.size() >= MAX_PENDING_COMMANDS) {
        return;
      }
      if (!pendingCommands.contains(reference)) {
        step(reference);
      }
    }
    for (String reference : List.copyOf(toNote)) {
      if (pendingCommands.size() < MAX_PENDING_COMMANDS && !pendingCommands.contains(reference)) {
        note(reference);
      }
    }
  }

  /** Submits the next step of a hold, if there is one. */
  private void step(String reference) {
    ReplicatedRecordIndex.Held<LegalHold> record = startBlock.holds().get(reference);
    LegalHold hold = record == null ? null : record.state();
    if (hold == null || !hold.isOpen()) {
      open.remove(reference);
      toNote.remove(reference);
      noted.remove(reference);
      return;
    }
    switch (hold.state()) {
      case FUTURE -> {
        if (hold.isDue(startBlock.now())) {
          submit(reference, new LegalHoldCommand.Due(hold.opening()));
        }
      }
      case PINNING -> pin(reference, record);
      case PINNED -> {
        Map<JobId, TaskSet> touching = startBlock.touching(hold);
        TerminationProof.Proof proof =
            TerminationProof.of(base.cache(), touching, record.version());
        Map<JobId, TaskSet> out =
            proof.state() == TerminationProof.State.HELD
                ? together(proof)
                : startBlock.newAccesses(reference);
        if (!out.isEmpty()) {
          // A claim or sweep class was recorded after these tasks had started.
          submit(
              reference,
              new LegalHoldCommand.Widened(hold.opening(), hold.scope(), firstPart(out)));
        } else if (proof.isProven()) {
          open.remove(reference);
          if (TaskListing.digest(startBlock.keptBack(touching)) != hold.notedDigest()) {
            toNote.add(reference);
          }
        }
      }
      default -> throw new IllegalStateException(hold.state().toString());
    }
  }

  private void pin(String reference, ReplicatedRecordIndex.Held<LegalHold> record) {
    LegalHold hold = record.state();
    List<LegalHoldCommand.Note> notes = touchedNotes(reference, hold);
    if (hold.notes() < notes.size()) {
      submit(reference, notes.get(hold.notes()));
      return;
    }
    Map<JobId, TaskSet> touching = startBlock.touching(hold);
    TerminationProof.Proof proof = TerminationProof.of(base.cache(), touching, record.version());
    if (proof.isProven()) {
      Map<JobId, TaskSet> kept = startBlock.keptBack(touching);
      submit(
          reference,
          new LegalHoldCommand.Pinned(
              hold.opening(),
              hold.scope(),
              proof.revision().value(),
              firstPart(kept),
              TaskListing.digest(kept)));
    }
  }

  /**
   * The tasks that accessed the records just before the hold took effect, numbered so that every
   * leader derives the same notes.
   */
  private List<LegalHoldCommand.Note> touchedNotes(String reference, LegalHold hold) {
    LegalHoldStartBlock.AccessingTasks touched = startBlock.accessingTasks(reference);
    List<LegalHoldCommand.Note> notes = new ArrayList<>();
    if (touched == null || hold.scope() > 0) {
      return notes;
    }
    TaskListing.parts(touched.running())
        .forEach(
            part ->
                notes.add(
                    new LegalHoldCommand.Note(hold.opening(), notes.size(), "was out", part, 0)));
    TaskListing.parts(touched.done())
        .forEach(
            part ->
                notes.add(
                    new LegalHoldCommand.Note(hold.opening(), notes.size(), "was done", part, 0)));
    return notes;
  }

  private void note(String reference) {
    ReplicatedRecordIndex.Held<LegalHold> record = startBlock.holds().get(reference);
    MonotonicTime now = base.timers().now();
    MonotonicTime before = noted.get(reference);
    if (record == null || record.state().state() != LegalHold.State.PINNED) {
      toNote.remove(reference);
      return;
    }
    if (before != null && !now.since(before).isLongerThan(NOTE_INTERVAL)) {
      return;
    }
    toNote.remove(reference);
    noted.put(reference, now);
    Map<JobId, TaskSet> kept = startBlock.keptBack(startBlock.touching(record.state()));
    long what = TaskListing.digest(kept);
    if (what != record.state().notedDigest()) {
      submit(
          reference,
          new LegalHoldCommand.Note(
              record.state().opening(),
              record.state().notes(),
              "keeps back",
              firstPart(kept),
              what));
    }
  }

  private static Map<JobId, TaskSet> together(TerminationProof.Proof proof) {
    Map<JobId, TaskSet> all = new TreeMap<>();
    proof
        .remaining()
        .values()
        .forEach(
            block ->
                block.forEach(
                    (job, tasks) -> all.computeIfAbsent(job, id -> new TaskSet()).addAll(tasks)));
    return all;
  }

  private static String firstPart(Map<JobId, TaskSet> tasks) {
    List<String> parts = TaskListing.parts(tasks);
    return parts.isEmpty()
        ? ""
        : parts.size() == 1
            ? parts.get(0)
            : parts.get(0)
                + " and more, of "
                + tasks.size()
                + " jobs, "
                + tasks.values().stream().mapToInt(TaskSet::size).sum()
                + " tasks in all";
  }

  private void submit(String reference, LegalHoldCommand command) {
    pendingCommands.add(reference);
    base.store()
        .submit(
            startBlock.holds(),
            reference,
            RecordCommand.internal(command),
            answer -> {
              pendingCommands.remove(reference);
              if (!answer.isDurable()) {
                LOG.debug("legal hold {}: {} {}", reference, answer.status(), answer.reason());
              }
            });
  }
}
