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
import org.quincecross.legalhold.Listing;
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
 * What the leader makes of the holds: those whose time has come are written to be in force, what
 * touched their records goes into their trail, and they are pinned once it is proven that nothing
 * which touches these runs or can start. Each step is written by itself and guarded by the record,
 * so it does not matter who leads, or who believes to.
 */
public final class LegalHoldReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(LegalHoldReconciler.class);
  private static final TimeSpan LOOK_EVERY = TimeSpan.ofMillis(250);

  /**
   * Steps that wait to be written at the same time: whoever asks from outside is to have room
   * beside them.
   */
  private static final int MOST_ASKED = 24;

  /** What is kept back is noted again no more often than this for one hold. */
  private static final TimeSpan NOTE_EVERY = TimeSpan.ofSeconds(60);

  private final ReplicatedFeatureContext base;
  private final LegalHoldStartBlock held;
  private final BooleanSupplier leading;
  private final Set<String> open = new LinkedHashSet<>();
  private final Set<String> toNote = new LinkedHashSet<>();
  private final Set<String> asked = new HashSet<>();
  private final Map<String, MonotonicTime> noted = new HashMap<>();
  private boolean wasLeading;

  /**
   * @param leading whether this controller leads
   */
  public LegalHoldReconciler(
      ReplicatedFeatureContext base, LegalHoldStartBlock held, BooleanSupplier leading) {
    this.base = base;
    this.held = held;
    this.leading = leading;
    base.timers().every(LOOK_EVERY, this::look);
  }

  private void look() {
    boolean leads = leading.getAsBoolean();
    if (leads && !wasLeading) {
      open.addAll(held.holds().all().keySet());
    }
    wasLeading = leads;
    open.addAll(held.takeStirred());
    if (!leads || (open.isEmpty() && toNote.isEmpty())) {
      return;
    }
    for (String reference : List.copyOf(open)) {
      if (asked.size() >= MOST_ASKED) {
        return;
      }
      if (!asked.contains(reference)) {
        step(reference);
      }
    }
    for (String reference : List.copyOf(toNote)) {
      if (asked.size() < MOST_ASKED && !asked.contains(reference)) {
        note(reference);
      }
    }
  }

  /** Makes the next step of a hold, if there is one now. */
  private void step(String reference) {
    ReplicatedRecordIndex.Held<LegalHold> record = held.holds().get(reference);
    LegalHold hold = record == null ? null : record.state();
    if (hold == null || !hold.isOpen()) {
      open.remove(reference);
      toNote.remove(reference);
      noted.remove(reference);
      return;
    }
    switch (hold.state()) {
      case FUTURE -> {
        if (hold.isDue(held.at())) {
          ask(reference, new LegalHoldCommand.Due(hold.opening()));
        }
      }
      case PINNING -> pin(reference, record);
      case PINNED -> {
        Map<JobId, TaskSet> touching = held.touching(hold);
        TerminationProof.Proof proof =
            TerminationProof.of(base.cache(), touching, record.version());
        Map<JobId, TaskSet> out =
            proof.state() == TerminationProof.State.HELD
                ? together(proof)
                : held.disturbed(reference);
        if (!out.isEmpty()) {
          // A claim or a lane was told after these had begun.
          ask(
              reference,
              new LegalHoldCommand.Widened(hold.opening(), hold.scope(), firstPart(out)));
        } else if (proof.isProven()) {
          open.remove(reference);
          if (Listing.what(held.keptBack(touching)) != hold.kept()) {
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
      ask(reference, notes.get(hold.notes()));
      return;
    }
    Map<JobId, TaskSet> touching = held.touching(hold);
    TerminationProof.Proof proof = TerminationProof.of(base.cache(), touching, record.version());
    if (proof.isProven()) {
      Map<JobId, TaskSet> kept = held.keptBack(touching);
      ask(
          reference,
          new LegalHoldCommand.Pinned(
              hold.opening(),
              hold.scope(),
              proof.revision().value(),
              firstPart(kept),
              Listing.what(kept)));
    }
  }

  /**
   * What touched the records just before. Numbered alike by whoever leads, from what each saw when
   * the hold came into force.
   */
  private List<LegalHoldCommand.Note> touchedNotes(String reference, LegalHold hold) {
    LegalHoldStartBlock.Touched touched = held.touched(reference);
    List<LegalHoldCommand.Note> notes = new ArrayList<>();
    if (touched == null || hold.scope() > 0) {
      return notes;
    }
    Listing.parts(touched.out())
        .forEach(
            part ->
                notes.add(
                    new LegalHoldCommand.Note(hold.opening(), notes.size(), "was out", part, 0)));
    Listing.parts(touched.done())
        .forEach(
            part ->
                notes.add(
                    new LegalHoldCommand.Note(hold.opening(), notes.size(), "was done", part, 0)));
    return notes;
  }

  private void note(String reference) {
    ReplicatedRecordIndex.Held<LegalHold> record = held.holds().get(reference);
    MonotonicTime now = base.timers().now();
    MonotonicTime before = noted.get(reference);
    if (record == null || record.state().state() != LegalHold.State.PINNED) {
      toNote.remove(reference);
      return;
    }
    if (before != null && !now.since(before).isLongerThan(NOTE_EVERY)) {
      return;
    }
    toNote.remove(reference);
    noted.put(reference, now);
    Map<JobId, TaskSet> kept = held.keptBack(held.touching(record.state()));
    long what = Listing.what(kept);
    if (what != record.state().kept()) {
      ask(
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
    List<String> parts = Listing.parts(tasks);
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

  private void ask(String reference, LegalHoldCommand command) {
    asked.add(reference);
    base.store()
        .submit(
            held.holds(),
            reference,
            RecordCommand.own(command),
            answer -> {
              asked.remove(reference);
              if (!answer.isDurable()) {
                LOG.debug("hold {}: {} {}", reference, answer.status(), answer.reason());
              }
            });
  }
}
