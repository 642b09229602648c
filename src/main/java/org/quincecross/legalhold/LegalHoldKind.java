package org.quincecross.legalhold;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.quincecross.legalhold.LegalHold.State;
import org.quincecross.replicated.AuditEvent;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.Transition;

/** The replicated record kind of legal holds; a record's name is the hold's reference. */
public final class LegalHoldKind implements RecordKind<LegalHold, LegalHoldCommand> {
  public static final String NAME = "holds";

  /** Upper limit of the characters of a hold's records, which leaves room for the audit trail. */
  public static final int MAX_RECORDS_LENGTH = 1000;

  private static final long MAX_TIME_MS = 253_402_300_799_999L;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public LegalHold initial() {
    return LegalHold.NONE;
  }

  @Override
  public boolean canBlockTasks() {
    return true;
  }

  @Override
  public boolean blocksMoreTasks(LegalHold before, LegalHold next) {
    return next.isInEffect() && !before.isInEffect();
  }

  // ---- transitions ----

  @Override
  public Transition<LegalHold> step(LegalHold hold, LegalHoldCommand command, CommandOrigin at) {
    if (command instanceof LegalHoldCommand.Open open) {
      return open(hold, open, at);
    }
    if (command instanceof LegalHoldCommand.Close close) {
      return close(hold, close, at);
    }
    if (command instanceof LegalHoldCommand.Review review) {
      return review(hold, review, at);
    }
    if (command instanceof LegalHoldCommand.Due due) {
      return due.opening() != hold.opening() || !hold.isDue(at)
          ? new Transition.Unchanged<>("not due")
          : changed(hold.inState(State.PINNING, hold.by()), "due", "opening", due.opening());
    }
    if (command instanceof LegalHoldCommand.Pinned pinned) {
      return pinned.opening() != hold.opening()
              || pinned.scope() != hold.scope()
              || hold.state() != State.PINNING
          ? new Transition.Unchanged<>("nothing to be pinned")
          : changed(
              hold.inState(State.PINNED, hold.by()).withProof(pinned.revision(), pinned.digest()),
              "pinned",
              "opening",
              pinned.opening(),
              "proven_at",
              pinned.revision(),
              "kept_back",
              pinned.blocked());
    }
    if (command instanceof LegalHoldCommand.Widened widened) {
      return widened.opening() != hold.opening()
              || widened.scope() != hold.scope()
              || hold.state() != State.PINNED
          ? new Transition.Unchanged<>("not pinned")
          : changed(
              hold.inState(State.PINNING, hold.by()).withWidenedScope(),
              "widened",
              "opening",
              widened.opening(),
              "tasks",
              widened.tasks());
    }
    LegalHoldCommand.Note note = (LegalHoldCommand.Note) command;
    return note.opening() != hold.opening() || note.number() != hold.notes() || !hold.isInEffect()
        ? new Transition.Unchanged<>("noted before")
        : changed(
            hold.withNote(note.digest()),
            note.event(),
            "opening",
            note.opening(),
            "tasks",
            note.tasks());
  }

  private static Transition<LegalHold> changed(LegalHold next, String event, Object... details) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < details.length; i += 2) {
      map.put((String) details[i], details[i + 1]);
    }
    return new Transition.Changed<>(next, List.of(new AuditEvent(event, map)));
  }

  private static Transition<LegalHold> open(
      LegalHold hold, LegalHoldCommand.Open open, CommandOrigin at) {
    if (at.by().isBlank()) {
      return new Transition.Refused<>(400, "who asks for the hold is to be named (by)");
    }
    if (hold.isOpen()) {
      boolean same =
          hold.records().equals(open.records())
              && hold.reviewMs() == open.reviewMs()
              && (hold.fromMs() == open.fromMs() || (hold.isInEffect() && open.fromMs() == 0));
      return same
          ? new Transition.Unchanged<>("open already, opening " + hold.opening())
          : new Transition.Refused<>(
              409,
              "open already, opening "
                  + hold.opening()
                  + ", with other records or dates: see it, or close it first");
    }
    LegalHold next =
        new LegalHold(
            State.FUTURE,
            hold.opening() + 1,
            open.records(),
            open.fromMs(),
            open.reviewMs(),
            at.by(),
            0,
            0,
            0,
            0);
    LegalHold opened = next.isDue(at) ? next.inState(State.PINNING, at.by()) : next;
    return changed(
        opened,
        "opened",
        "opening",
        opened.opening(),
        "records",
        texts(open.records()),
        "from_ms",
        open.fromMs(),
        "review_ms",
        open.reviewMs());
  }

  private static Transition<LegalHold> close(
      LegalHold hold, LegalHoldCommand.Close close, CommandOrigin at) {
    if (hold.state() == State.NONE) {
      return new Transition.Refused<>(404, "there is no such hold");
    }
    if (at.by().isBlank()) {
      return new Transition.Refused<>(400, "who asks for the closing is to be named (by)");
    }
    if (close.opening() > hold.opening()) {
      return new Transition.Refused<>(
          409, "there is no opening " + close.opening() + " yet; the last is " + hold.opening());
    }
    if (close.opening() < hold.opening() || hold.state() == State.CLOSED) {
      return new Transition.Unchanged<>(
          "opening "
              + close.opening()
              + " is closed already"
              + (close.opening() < hold.opening()
                  ? "; opening " + hold.opening() + " is a later one, and stays as it is"
                  : ""));
    }
    return changed(
        hold.inState(State.CLOSED, at.by()),
        "closed",
        "opening",
        close.opening(),
        "was",
        hold.state().name());
  }

  private static Transition<LegalHold> review(
      LegalHold hold, LegalHoldCommand.Review review, CommandOrigin at) {
    if (!hold.isOpen() || review.opening() != hold.opening()) {
      return new Transition.Refused<>(409, "opening " + review.opening() + " is not open");
    }
    if (at.by().isBlank()) {
      return new Transition.Refused<>(400, "who sets the review date is to be named (by)");
    }
    return review.reviewMs() == hold.reviewMs()
        ? new Transition.Unchanged<>("so already")
        : changed(
            hold.withReviewDate(review.reviewMs()),
            "review",
            "opening",
            review.opening(),
            "review_ms",
            review.reviewMs());
  }

  // ---- formats ----

  private static List<Object> texts(List<RecordSelector> records) {
    List<Object> texts = new ArrayList<>();
    records.forEach(each -> texts.add(each.toString()));
    return texts;
  }

  static List<RecordSelector> records(RecordFields in, String name)
      throws MalformedRecordException {
    List<RecordSelector> records = new ArrayList<>();
    for (String text : in.texts(name)) {
      try {
        records.add(RecordSelector.parse(text));
      } catch (IllegalArgumentException e) {
        throw new MalformedRecordException("field " + name + ": " + e.getMessage());
      }
    }
    if (records.isEmpty()) {
      throw new MalformedRecordException("field " + name + " names no records");
    }
    return List.copyOf(records);
  }

  @Override
  public Map<String, Object> write(LegalHold hold) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("state", hold.state().name());
    out.put("opening", hold.opening());
    out.put("records", texts(hold.records()));
    out.put("from_ms", hold.fromMs());
    out.put("review_ms", hold.reviewMs());
    out.put("by", hold.by());
    out.put("scope", hold.scope());
    out.put("proven_at", hold.provenAt());
    out.put("notes", hold.notes());
    out.put("kept", hold.notedDigest());
    return out;
  }

  @Override
  public LegalHold read(Map<String, Object> value) throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a hold");
    State state = in.enumConstant("state", State.class);
    return new LegalHold(
        state,
        (int) in.integer("opening", 0, Integer.MAX_VALUE),
        state == State.NONE ? List.of() : records(in, "records"),
        in.integer("from_ms", 0, MAX_TIME_MS),
        in.integer("review_ms", 0, MAX_TIME_MS),
        in.text("by"),
        (int) in.integer("scope", 0, Integer.MAX_VALUE),
        in.integer("proven_at", 0, Long.MAX_VALUE),
        (int) in.integer("notes", 0, Integer.MAX_VALUE),
        in.integer("kept", Long.MIN_VALUE, Long.MAX_VALUE));
  }

  /**
   * Operators may open, close and set review dates; all other commands are issued by controllers
   * only.
   */
  @Override
  public LegalHoldCommand command(Map<String, Object> body) throws MalformedRecordException {
    RecordFields in = RecordFields.of(body, "the command");
    String action = in.text("do").toLowerCase(Locale.ROOT);
    switch (action) {
      case "open" -> {
        in.allowOnly(List.of("do", "records", "from_ms", "review_ms"));
        List<RecordSelector> records = records(in, "records");
        if (records.stream().mapToInt(each -> each.toString().length() + 3).sum()
            > MAX_RECORDS_LENGTH) {
          throw new MalformedRecordException(
              "field records is longer than "
                  + MAX_RECORDS_LENGTH
                  + " characters: open a second hold for the rest");
        }
        return new LegalHoldCommand.Open(
            records,
            in.integerOr("from_ms", 0, MAX_TIME_MS, 0),
            in.integerOr("review_ms", 0, MAX_TIME_MS, 0));
      }
      case "close" -> {
        in.allowOnly(List.of("do", "opening"));
        return new LegalHoldCommand.Close((int) in.integer("opening", 1, Integer.MAX_VALUE));
      }
      case "review" -> {
        in.allowOnly(List.of("do", "opening", "review_ms"));
        return new LegalHoldCommand.Review(
            (int) in.integer("opening", 1, Integer.MAX_VALUE),
            in.integer("review_ms", 0, MAX_TIME_MS));
      }
      default ->
          throw new MalformedRecordException(
              "field do of the command is not one of open, close, review");
    }
  }

  @Override
  public List<Map<String, Object>> rows(String id, LegalHold hold, CommandOrigin at) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("reference", id);
    row.put("state", hold.state().name());
    row.put("opening", hold.opening());
    row.put(
        "records",
        String.join(" ", hold.records().stream().map(RecordSelector::toString).toList()));
    row.put("from_ms", hold.fromMs());
    row.put("review_ms", hold.reviewMs());
    row.put("to_be_reviewed", hold.isReviewDue(at));
    row.put("by", hold.by());
    row.put("proven_at", hold.provenAt());
    return List.of(row);
  }
}
