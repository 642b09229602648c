package org.quincecross.shard;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.quincecross.failuredetection.OneWayPartitionDetector;
import org.quincecross.failuredetection.StaleHeartbeatFilter;
import org.quincecross.model.Attempt;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Machine;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat;

/** The owner's knowledge of one machine of its shard. */
final class AgentSession {
  /** The states of a session. */
  enum State {
    /** The agent may still obey a former owner. */
    UNFENCED,
    /**
     * The agent has shown the shard's token: it obeys this owner alone, and its heartbeat is
     * complete.
     */
    FENCED,
    /** The agent's lease has certainly expired: nothing runs there until it reports again. */
    LOST
  }

  /**
   * The number of messages that an agent may send between two heartbeats to the same controller:
   * one round of the others, in at most two sessions.
   */
  private static final long MAX_SEQUENCE_GAP = 12;

  private static final long MAX_SESSION_GAP = 2;

  private final Machine machine;
  private final Resources capacity;
  private final double cacheGb;
  private final Map<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<String> imagePulled = new HashSet<>();
  private final StartTracker starts = new StartTracker();
  private final StaleHeartbeatFilter staleFilter = new StaleHeartbeatFilter();
  private State state = State.UNFENCED;
  private Heartbeat lastHeartbeat;
  private Set<Attempt> reportedAttempts = Set.of();
  private MonotonicTime lastContact;
  private MonotonicTime leaseFrom;

  /** The same bound, restricted to responses to heartbeats about which nothing will be proven. */
  private MonotonicTime provenFrom;

  /** When the current session was first seen; its lease began before then. */
  private MonotonicTime shownFrom;

  private final OneWayPartitionDetector reachability;
  private boolean wasCleared;
  private MonotonicTime directAfter;
  private boolean directRunning;
  private boolean heartbeatRequested;
  private boolean faulty;
  private boolean open;
  private List<String> imageList;

  /**
   * Creates an unfenced session.
   *
   * @param leaseFrom no one can have renewed the machine's lease later than this, as far as is
   *     known
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
    this.reachability = new OneWayPartitionDetector(now);
    this.lastContact = now;
    this.directAfter = now;
  }

  /** The only method that changes the state. */
  void enter(State next) {
    wasCleared |= next != State.UNFENCED;
    state = next;
  }

  /**
   * Whether the machine has been fenced or lost: nothing that a former owner sent has an effect
   * there any more.
   */
  boolean wasCleared() {
    return wasCleared;
  }

  OneWayPartitionDetector reachability() {
    return reachability;
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

  Heartbeat lastHeartbeat() {
    return lastHeartbeat;
  }

  /** The attempts in the last heartbeat, in any state. */
  Set<Attempt> reportedAttempts() {
    return reportedAttempts;
  }

  /**
   * Accepts a heartbeat that is newer than all before.
   *
   * @param beat whether the agent sent it on its own. It has one such heartbeat in flight at a
   *     time, so the response to the previous one has been executed or will be dropped.
   */
  void accept(Heartbeat next, boolean beat, MonotonicTime now) {
    if (lastHeartbeat == null || lastHeartbeat.session() != next.session() || state == State.LOST) {
      // A session's lease runs from its beginning, which needs no response: earlier bounds do not
      // cover it, even if no response was ever accepted. Guards against
      // docs/incidents/session-without-an-answer.md and lease-of-a-new-session.md.
      shownFrom = now;
    }
    lastHeartbeat = next;
    reportedAttempts =
        next.tasks().stream()
            .filter(status -> !HeartbeatRequest.isRefusal(status))
            .map(Heartbeat.TaskStatus::attempt)
            .collect(Collectors.toSet());
    if (beat) {
      starts.heartbeatReceived();
      heartbeatRequested = false;
    }
  }

  /**
   * Classifies a message of the machine; {@code beat}: the agent sent it on its own, or it is a
   * copy of such a message.
   */
  StaleHeartbeatFilter.Classification classify(Heartbeat next, boolean beat, MonotonicTime now) {
    StaleHeartbeatFilter.Position shown =
        new StaleHeartbeatFilter.Position(next.token(), next.session(), next.sequence());
    return beat
        ? staleFilter.classifyHeartbeat(shown, state == State.LOST, now)
        : staleFilter.classifyCommandResponse(shown, now);
  }

  /**
   * Whether the agent has restarted under this owner: it gets no tasks before the shard has a new
   * token.
   */
  boolean hasRestarted() {
    return staleFilter.state() == StaleHeartbeatFilter.State.BEGUN_ANEW;
  }

  /**
   * Whether the machine has to be asked for its state: it is not fenced, or its last message is
   * doubtful.
   */
  boolean needsStatusRequest(TimeSpan reportEvery, MonotonicTime now) {
    return state == State.UNFENCED || staleFilter.needsStatusRequest(reportEvery, now);
  }

  void recordContact(MonotonicTime now) {
    lastContact = now;
  }

  MonotonicTime lastContact() {
    return lastContact;
  }

  /**
   * Called when a heartbeat got a response with the shard's token: the machine's lease may run from
   * now.
   */
  // Equal heartbeats of two moments prove different things: the instance is meant.
  @SuppressWarnings("ReferenceEquality")
  void responseSent(Heartbeat answered, MonotonicTime now) {
    if (leaseFrom.isBefore(now)) {
      leaseFrom = now;
    }
    if (answered == lastHeartbeat) {
      reachability.responseSent(answered.session(), now);
    } else if (provenFrom.isBefore(now)) {
      provenFrom =
          now; // not the newest heartbeat: it comes from an agent process about which nothing is
      // known
    }
  }

  /**
   * Whether a heartbeat that is about to be accepted proves that no response of this owner was
   * accepted; the lease then runs from where it ran before the first of them.
   *
   * <p>Proof. An agent keeps the highest token that it has seen, and only a response with at least
   * that token renews its lease. All responses of this owner carry the shard's token. The agent has
   * one heartbeat in flight at a time and drops the response to one that it has given up, so when
   * it made this heartbeat, each response to an earlier one had been accepted or never will be; and
   * had one been accepted, this heartbeat would show the token. No one else responds with this
   * token. Responses with a lower one are bounded by what the owner began with; one with a higher
   * token owns the shard, which the last confirmation by the store excludes up to then.
   *
   * <p>A restarted agent counts from one again and is another process: a late copy of a heartbeat
   * from before the restart would prove nothing about it. So the heartbeat must show no lower token
   * than the last one (StaleHeartbeatFilter.isAfter), follow it closely in number and session, the
   * machine must never have shown the token, and a response to any heartbeat that was not the
   * newest ({@link #responseSent}) keeps its bound.
   *
   * <p>With an equal token a heartbeat shows by its session alone whether a response was accepted.
   * It needs no other proof: the session ends by itself when the lease does, and the first
   * heartbeat of the next session frees everything that the previous one had.
   */
  boolean provesNoneTaken(Heartbeat next, FencingToken token) {
    if (state == State.FENCED
        || hasRestarted()
        || lastHeartbeat == null
        || !token.isAfter(next.token())
        || !next.isNewerThan(lastHeartbeat)
        || next.session() - lastHeartbeat.session() > MAX_SESSION_GAP
        || next.sequence() <= lastHeartbeat.sequence()
        || next.sequence() - lastHeartbeat.sequence() > MAX_SEQUENCE_GAP) {
      return false;
    }
    leaseFrom = provenFrom;
    return true;
  }

  /** Called when no former owner can respond to the machine after this time. */
  void formerOwnersSilentSince(MonotonicTime now) {
    leaseFrom = now.isBefore(leaseFrom) ? now : leaseFrom;
    provenFrom = now.isBefore(provenFrom) ? now : provenFrom;
  }

  /** When the machine's lease expires at the latest if it gets no more responses. */
  MonotonicTime leaseExpiry(TimeSpan leaseAtMost) {
    return (leaseFrom.isBefore(shownFrom) ? shownFrom : leaseFrom).plus(leaseAtMost);
  }

  boolean isLeaseExpired(TimeSpan leaseAtMost, MonotonicTime now) {
    return leaseExpiry(leaseAtMost).isBefore(now);
  }

  /**
   * Records that the session in which a former owner may have sent commands is certainly over,
   * although the machine may be in a later one; true once. A machine that receives nothing goes
   * from one session to the next and is never lost by {@link #isLeaseExpired}, as each has a lease
   * of its own; what waits for it would wait for ever.
   *
   * <p>Proof. No one else has responded to it or commanded it after the first bound on its lease,
   * and of this owner's responses none was accepted before {@link #provenFrom} (to be asked right
   * after {@link #provesNoneTaken}). So the session of that time was over a lease later, and no
   * former owner knows the number of any that began since.
   */
  boolean clearAfterLease(TimeSpan leaseAtMost, MonotonicTime now) {
    if (wasCleared || !leaseFrom.plus(leaseAtMost).isBefore(now)) {
      return false;
    }
    wasCleared = true;
    return true;
  }

  /**
   * Whether the machine is fenced for this owner and there is no reason to withhold tasks from it.
   */
  boolean acceptsTasks() {
    return state == State.FENCED && !faulty && !hasTerminationNotice() && !hasRestarted();
  }

  boolean hasTerminationNotice() {
    return lastHeartbeat != null && lastHeartbeat.terminationNotice() != null;
  }

  boolean isFaulty() {
    return faulty;
  }

  void markFaulty() {
    faulty = true;
  }

  boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** The images, in a stable order. */
  List<String> images() {
    if (imageList == null) {
      imageList = images.keySet().stream().sorted().toList();
    }
    return imageList;
  }

  /** Whether the machine was last found to accept tasks. */
  boolean isOpen() {
    return open;
  }

  void setOpen(boolean nowOpen) {
    open = nowOpen;
  }

  /** Whether an image is not known to be present although a task that needs it is. */
  boolean isPulling(String image) {
    return !imagePulled.contains(image);
  }

  void imagePulled(String image) {
    imagePulled.add(image);
  }

  /** Adds an image that a former owner knew of; its size will be known when it is next used. */
  void inheritImage(String image) {
    images.put(image, 0.0);
    imageList = null;
    imagePulled.add(image);
  }

  /**
   * Records that a task has or gets its image here; the image stays until more recently used ones
   * evict it.
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
      imagePulled.remove(oldest.getKey());
      i.remove();
    }
  }

  /** The starts that the agent may still execute. */
  StartTracker starts() {
    return starts;
  }

  /** Whether the agent has been asked for a heartbeat that has not arrived yet. */
  boolean isHeartbeatRequested() {
    return heartbeatRequested;
  }

  void heartbeatRequested() {
    heartbeatRequested = true;
  }

  boolean canSendDirect(MonotonicTime now) {
    return !directRunning && !now.isBefore(directAfter);
  }

  void directSent() {
    directRunning = true;
    staleFilter.statusRequested();
  }

  /**
   * Called with the response to a direct command.
   *
   * @param isRejected whether the agent has executed nothing
   */
  void directAnswered(boolean isRejected) {
    directRunning = false;
    heartbeatRequested &= !isRejected;
  }

  void directFailed(MonotonicTime retryAt) {
    directRunning = false;
    heartbeatRequested = false;
    staleFilter.statusRequestFailed();
    directAfter = retryAt;
  }
}
