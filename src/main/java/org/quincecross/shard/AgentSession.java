package org.quincecross.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.quincecross.failuredetection.OneWayPartitionDetector;
import org.quincecross.failuredetection.StaleHeartbeatFilter;
import org.quincecross.model.Attempt;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Machine;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat;

/** What the holder knows of one machine of its block. */
final class AgentSession {
  /** The states of a session. */
  enum State {
    /** It may still obey the former holder. */
    UNFENCED,
    /** It has shown the block's token: it obeys this holder alone, and its report is complete. */
    FENCED,
    /** Its lease has surely run out: nothing runs there until it reports again. */
    LOST
  }

  /**
   * What a worker may send between two reports to the same controller: a round of the others, in
   * two sessions at most.
   */
  private static final long CLOSE_REPORTS = 12;

  private static final long CLOSE_SESSIONS = 2;

  private final Machine machine;
  private final Resources capacity;
  private final double cacheGb;
  private final Map<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<String> fetched = new HashSet<>();
  private final Map<Attempt, TaskId> startsInFlight = new HashMap<>();
  private final Map<Attempt, TaskId> startsUnanswered = new HashMap<>();
  private final Set<Attempt> startsInAnswer = new HashSet<>();
  private final StaleHeartbeatFilter freshness = new StaleHeartbeatFilter();
  private State state = State.UNFENCED;
  private Heartbeat heartbeat;
  private MonotonicTime heard;
  private MonotonicTime leaseFrom;

  /** The same as far as the answers to reports go of which nothing will be proven. */
  private MonotonicTime provenFrom;

  /** When its present session was first shown: that has a lease of its own from before then on. */
  private MonotonicTime shownFrom;

  private final OneWayPartitionDetector hearing;
  private boolean cleared;
  private MonotonicTime directAfter;
  private boolean directRunning;
  private boolean sick;
  private boolean open;
  private List<String> imageList;

  /**
   * {@code leaseFrom}: nobody can have renewed the machine's lease later than this, as far as is
   * known now.
   */
  AgentSession(
      Machine machine,
      Resources capacity,
      double cacheGb,
      MonotonicTime now,
      MonotonicTime leaseFrom) {
    this.machine = machine;
    this.capacity = capacity;
    this.cacheGb = cacheGb;
    this.leaseFrom = leaseFrom;
    this.provenFrom = leaseFrom;
    this.shownFrom = now;
    this.hearing = new OneWayPartitionDetector(now);
    this.heard = now;
    this.directAfter = now;
  }

  /** The one place where a session changes its state. */
  void enter(State next) {
    if (next == State.FENCED && !hasBegunAnew()) {
      // Whatever was sent with a former token is refused from here on.
      startsUnanswered.clear();
    }
    cleared |= next != State.UNFENCED;
    state = next;
  }

  /**
   * Whether it has been fenced or lost: nothing that a former holder may have sent counts there any
   * more.
   */
  boolean wasCleared() {
    return cleared;
  }

  OneWayPartitionDetector hearing() {
    return hearing;
  }

  Machine machine() {
    return machine;
  }

  Resources capacity() {
    return capacity;
  }

  State state() {
    return state;
  }

  Heartbeat report() {
    return heartbeat;
  }

  /** The attempts that the last report names, in whatever state. */
  Set<Attempt> reportedAttempts() {
    Set<Attempt> reported = new HashSet<>();
    heartbeat.tasks().forEach(piece -> reported.add(piece.attempt()));
    return reported;
  }

  /**
   * Takes a report that is newer than those before; {@code beat}: one that the worker sent by
   * itself. It has one such report under way at a time, so the answer to the one before has been
   * executed or will be dropped.
   */
  void take(Heartbeat next, boolean beat, MonotonicTime now) {
    if (heartbeat == null || heartbeat.session() != next.session() || state == State.LOST) {
      // A session's lease runs from when it began, which nobody has to answer: bounds from before
      // it say nothing of it, though no
      // answer was ever taken. Guards against docs/incidents/session-without-an-answer.md and
      // lease-of-a-new-session.md.
      shownFrom = now;
    }
    // A worker that has begun anew may come to the session that a command of before was sent to:
    // only a new token ends that.
    if (heartbeat != null && heartbeat.session() != next.session() && !hasBegunAnew()) {
      startsUnanswered.clear();
      startsInFlight.clear();
    }
    if (beat) {
      startsInAnswer.clear();
    }
    heartbeat = next;
  }

  /**
   * What a message of the machine is; {@code beat}: it sent it by itself, or it is a copy of such a
   * one.
   */
  StaleHeartbeatFilter.Verdict judge(Heartbeat next, boolean beat, MonotonicTime now) {
    StaleHeartbeatFilter.Shown shown =
        new StaleHeartbeatFilter.Shown(next.token(), next.session(), next.sequence());
    return beat
        ? freshness.ofReport(shown, state == State.LOST, now)
        : freshness.ofAnswer(shown, now);
  }

  /**
   * Whether the worker has begun anew under this holder: it gets no work before the block has a new
   * token.
   */
  boolean hasBegunAnew() {
    return freshness.state() == StaleHeartbeatFilter.State.BEGUN_ANEW;
  }

  /**
   * Whether the machine is to be asked what it has: it does not obey yet, or what came last from it
   * is doubtful.
   */
  boolean isToBeAsked(TimeSpan reportEvery, MonotonicTime now) {
    return state == State.UNFENCED || freshness.isToBeAsked(reportEvery, now);
  }

  void hear(MonotonicTime now) {
    heard = now;
  }

  MonotonicTime heard() {
    return heard;
  }

  /** A report was answered with the block's token: the machine's lease may run from now. */
  // Equal reports of two moments prove different things: the instance is meant.
  @SuppressWarnings("ReferenceEquality")
  void answered(Heartbeat answered, MonotonicTime now) {
    if (leaseFrom.isBefore(now)) {
      leaseFrom = now;
    }
    if (answered == heartbeat) {
      hearing.answered(answered.session(), now);
    } else if (provenFrom.isBefore(now)) {
      provenFrom =
          now; // a report that is not the newest: from a life of the machine of which nothing is
      // known
    }
  }

  /**
   * Whether a report, about to be taken, proves that no answer of this holder was taken; then the
   * lease runs from where it ran before the first of them.
   *
   * <p>Proof. A worker keeps the highest token that it has seen, and only an answer with at least
   * that token renews its lease. All answers of this holder have the block's token. It has one
   * report under way at a time and drops the answer to one that it has given up, so when it made
   * this report each answer to an earlier one had been taken or never will be; and had one been
   * taken, this report would show the token. Nobody else answers with this token, and who answers
   * with a lower one is bounded by what the holder began with; one with a higher one holds the
   * block, which the last word from the state service excludes up to then.
   *
   * <p>A machine that was started anew counts from one again and is another worker: a late copy of
   * a report from its former life would prove nothing about it. So the report must show no lower
   * token than the last one (Freshness.isAfter), follow it closely in number and session, the
   * machine must never have shown the token, and an answer to any report that was not the newest
   * ({@link #answered}) keeps its bound.
   *
   * <p>With an equal token a report shows by its session alone whether an answer was taken. It
   * needs no other proof: the session ends by itself when the lease does, and the first report of
   * the next one frees all that the one before had.
   */
  boolean provesNoneTaken(Heartbeat next, FencingToken token) {
    if (state == State.FENCED
        || hasBegunAnew()
        || heartbeat == null
        || !token.isAfter(next.token())
        || !next.isNewerThan(heartbeat)
        || next.session() - heartbeat.session() > CLOSE_SESSIONS
        || next.sequence() <= heartbeat.sequence()
        || next.sequence() - heartbeat.sequence() > CLOSE_REPORTS) {
      return false;
    }
    leaseFrom = provenFrom;
    return true;
  }

  /** No former holder can have answered the machine after this. */
  void answeredByOthersUntil(MonotonicTime now) {
    leaseFrom = now.isBefore(leaseFrom) ? now : leaseFrom;
    provenFrom = now.isBefore(provenFrom) ? now : provenFrom;
  }

  /** When its lease is over at the latest, if it is not answered again. */
  MonotonicTime leaseEnds(TimeSpan leaseAtMost) {
    return (leaseFrom.isBefore(shownFrom) ? shownFrom : leaseFrom).plus(leaseAtMost);
  }

  boolean leaseIsOver(TimeSpan leaseAtMost, MonotonicTime now) {
    return leaseEnds(leaseAtMost).isBefore(now);
  }

  /**
   * Notes that the session is surely over in which a former holder may have commanded, though the
   * machine may be in a later one; true once. A machine that hears nothing goes from one session to
   * the next and is never lost by {@link #leaseIsOver}, as each has a lease of its own; what waits
   * for it would wait for ever.
   *
   * <p>Proof. Nobody else has answered or commanded it after the first bound on its lease, and of
   * this holder's answers none was taken before {@link #provenFrom} (to be asked right after {@link
   * #provesNoneTaken}). So the session of that time was over a lease later, and no former holder
   * knows the number of any that began since.
   */
  boolean clearByTime(TimeSpan leaseAtMost, MonotonicTime now) {
    if (cleared || !leaseFrom.plus(leaseAtMost).isBefore(now)) {
      return false;
    }
    cleared = true;
    return true;
  }

  /** Whether it obeys this holder alone and nothing speaks against giving it work. */
  boolean takesWork() {
    return state == State.FENCED && !sick && !hasNotice() && !hasBegunAnew();
  }

  boolean hasNotice() {
    return heartbeat != null && heartbeat.terminationNotice() != null;
  }

  boolean isSick() {
    return sick;
  }

  void markSick() {
    sick = true;
  }

  boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** The images, in an order that stays while they do. */
  List<String> images() {
    if (imageList == null) {
      imageList = images.keySet().stream().sorted().toList();
    }
    return imageList;
  }

  /** Whether it was last found to take work. */
  boolean wasOpen() {
    return open;
  }

  void found(boolean nowOpen) {
    open = nowOpen;
  }

  /** Whether an image is not known to be here yet, though a task that needs it is. */
  boolean isFetching(String image) {
    return !fetched.contains(image);
  }

  void fetched(String image) {
    fetched.add(image);
  }

  /** A former holder knew of an image here; how large it is will show when it is used again. */
  void inheritImage(String image) {
    images.put(image, 0.0);
    imageList = null;
    fetched.add(image);
  }

  /**
   * A task has or gets its image here, so the machine has it: until more recently used ones crowd
   * it out.
   */
  void usedImage(String image, double gb) {
    Double before = images.put(image, gb);
    if (before != null && before == gb) {
      return;
    }
    imageList = null;
    double sum = images.values().stream().mapToDouble(Double::doubleValue).sum();
    for (Iterator<Map.Entry<String, Double>> i = images.entrySet().iterator();
        i.hasNext() && sum > cacheGb; ) {
      Map.Entry<String, Double> oldest = i.next();
      sum -= oldest.getValue();
      fetched.remove(oldest.getKey());
      i.remove();
    }
  }

  /**
   * Whether a start of this attempt may yet be executed: then its report must not be cleared, or it
   * starts anew.
   */
  boolean mayStillStart(Attempt attempt) {
    return startsInFlight.containsKey(attempt)
        || startsUnanswered.containsKey(attempt)
        || startsInAnswer.contains(attempt);
  }

  /**
   * Whether only a new token or a new session ends the doubt about a start: nothing else of it will
   * come.
   */
  boolean isInDoubt(Attempt attempt) {
    return startsUnanswered.containsKey(attempt);
  }

  /**
   * Whether one of some tasks may yet start here by a command whose attempt the machine has not
   * shown.
   */
  boolean mayYetStart(Predicate<TaskId> which) {
    return mayYetStart(startsUnanswered, which) || mayYetStart(startsInFlight, which);
  }

  private boolean mayYetStart(Map<Attempt, TaskId> starts, Predicate<TaskId> which) {
    if (starts.isEmpty()) {
      return false;
    }
    Set<Attempt> shown = heartbeat == null ? Set.of() : reportedAttempts();
    return starts.entrySet().stream()
        .anyMatch(start -> !shown.contains(start.getKey()) && which.test(start.getValue()));
  }

  /**
   * How many exits the machine reports that must not be cleared, because a start of theirs may
   * still come.
   */
  int keptExits() {
    int kept = 0;
    if (!startsUnanswered.isEmpty() && heartbeat != null) {
      for (Heartbeat.TaskStatus piece : heartbeat.tasks()) {
        kept += piece.state() == Heartbeat.TaskState.EXITED && isInDoubt(piece.attempt()) ? 1 : 0;
      }
    }
    return kept;
  }

  /** The answer to the last report has these starts. */
  void startsInAnswer(Set<Attempt> starts) {
    startsInAnswer.addAll(starts);
  }

  boolean canSendDirect(MonotonicTime now) {
    return !directRunning && !now.isBefore(directAfter);
  }

  void directSent(Map<Attempt, TaskId> starts) {
    directRunning = true;
    freshness.asking();
    startsInFlight.putAll(starts);
  }

  void directAnswered(Map<Attempt, TaskId> starts) {
    directRunning = false;
    startsInFlight.keySet().removeAll(starts.keySet());
  }

  void directFailed(Map<Attempt, TaskId> starts, boolean mayHaveArrived, MonotonicTime retryAt) {
    directAnswered(starts);
    freshness.unanswered();
    if (mayHaveArrived) {
      startsUnanswered.putAll(starts);
    }
    directAfter = retryAt;
  }
}
