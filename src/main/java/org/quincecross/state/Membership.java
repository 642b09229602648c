package org.quincecross.state;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.Timers;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains this controller's lease and member record. On start, the lease of the former
 * incarnation is revoked at once, which proves to the other controllers that it has ended.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  private static final TimeSpan LEASE_DURATION = TimeSpan.ofSeconds(3);
  private static final TimeSpan RENEW_INTERVAL = TimeSpan.ofMillis(900);
  private static final TimeSpan RENEW_TIMEOUT = TimeSpan.ofSeconds(1);
  private static final TimeSpan RETRY_DELAY = TimeSpan.ofMillis(300);

  /** How often an incompatible controller checks again whether records or level have changed. */
  private static final TimeSpan RECHECK_INTERVAL = TimeSpan.ofSeconds(5);

  /** The states of membership. */
  public enum State {
    REVOKING_FORMER_LEASE,
    ASKING_FOR_LEASE,
    /** The member record is being written, provided that this build supports the level in force. */
    ANNOUNCING,
    LIVE,
    /** The level in force has changed since this controller last read it. */
    READING_LEVEL,
    /**
     * This build does not support the level in force or cannot read a record: the controller is no
     * member, owns no shards, and checks again periodically.
     */
    INCOMPATIBLE
  }

  private final Timers timers;
  private final KeyValueStoreClient store;
  private final ControllerId member;
  private final String zone;
  private final Build build;
  private final AnnouncedLimits announcedLimits;
  private FeatureLevelRecord level = FeatureLevelRecord.NONE;
  private String incompatibility = "";
  private int planned;
  private BooleanSupplier unreadable = () -> false;
  private State state = State.REVOKING_FORMER_LEASE;
  private Incarnation incarnation = Incarnation.NONE;

  /** When the lease of the present incarnation was granted; it runs from a moment earlier. */
  private MonotonicTime leaseGrantedAt;

  private Revision announced = Revision.NONE;

  /** Whether the member record omits the limits, because it would be too large with them. */
  private boolean omitsLimits;

  /**
   * Creates a membership that has not started.
   *
   * @param build the feature levels that this build supports
   * @param announcedLimits the parts of the settings that have to be equal on all controllers
   * @param mostBytes the maximum size of the member record
   */
  public Membership(
      Timers timers,
      KeyValueStoreClient store,
      ControllerId member,
      String zone,
      Build build,
      AnnouncedLimits announcedLimits,
      int mostBytes) {
    this.timers = timers;
    this.store = store;
    this.member = member;
    this.zone = zone;
    this.build = build;
    this.announcedLimits = announcedLimits;
    if (Json.write(record()).length > mostBytes) {
      omitLimits();
    }
  }

  /**
   * Omits the settings from the record that names this controller, because it would be too large
   * with them.
   */
  public void omitLimits() {
    if (!omitsLimits) {
      LOG.warn("the record of member {} would be too large: it omits the limits", member);
      omitsLimits = true;
    }
  }

  /** The present state. */
  public State state() {
    return state;
  }

  /** Whether this controller is a live member. */
  public boolean isLive() {
    return state == State.LIVE;
  }

  /** The present incarnation, {@link Incarnation#NONE} before the first. */
  public Incarnation life() {
    return incarnation;
  }

  /** The record that names this controller as a member or as the leader. */
  public Map<String, Object> record() {
    return new ControllerRecord(member, incarnation, zone, build, announcedLimits, Revision.NONE)
        .write(!omitsLimits);
  }

  /** The feature levels that this build supports. */
  public Build build() {
    return build;
  }

  /** Why this controller cannot take part; empty if it can. */
  public String incompatibility() {
    return state == State.INCOMPATIBLE ? incompatibility : "";
  }

  /** Starts by revoking the lease of the former incarnation. */
  public void start() {
    step();
  }

  /** The only method that changes the state. */
  private void enter(State next) {
    state = next;
  }

  private void stepTo(State next) {
    enter(next);
    step();
  }

  /** Schedules the next step; a step that was scheduled before is dropped. */
  private void stepAfter(TimeSpan span) {
    int mine = ++planned;
    timers.after(
        span,
        () -> {
          if (mine == planned) {
            step();
          }
        });
  }

  private void retry() {
    stepAfter(RETRY_DELAY);
  }

  private void step() {
    switch (state) {
      case REVOKING_FORMER_LEASE ->
          store.readNow(
              KeyValueStoreCodec.keyPath(StoreKeys.member(member)), this::formerLeaseRevoked);
      case ASKING_FOR_LEASE -> store.grantLease(LEASE_DURATION, this::leaseGranted);
      // An older build that joins while the level is raised either fails the raise by this record,
      // or fails itself.
      case ANNOUNCING ->
          store.commitNow(
              List.of(new Precondition(StoreKeys.LEVEL, level.version())),
              List.of(new Mutation(StoreKeys.member(member), record(), incarnation)),
              this::announced);
      case READING_LEVEL, INCOMPATIBLE ->
          store.readNow(KeyValueStoreCodec.keyPath(StoreKeys.LEVEL), this::levelRead);
      case LIVE -> store.renewLease(incarnation, RENEW_TIMEOUT, this::renewed);
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private void formerLeaseRevoked(HttpOutcome outcome) {
    if (outcome.status() == 404) {
      stepTo(State.ASKING_FOR_LEASE);
      return;
    }
    if (outcome.status() != 200) {
      retry();
      return;
    }
    try {
      var in = Json.parseFields(outcome.response().body());
      if (!in.has("Hold")) {
        stepTo(State.ASKING_FOR_LEASE);
        return;
      }
      store.revokeLease(
          KeyValueStoreCodec.readLeaseGrant(in),
          ended -> {
            if (ended.status() == 200 || ended.status() == 204 || ended.status() == 404) {
              stepTo(State.ASKING_FOR_LEASE);
            } else {
              retry();
            }
          });
    } catch (MalformedMessageException e) {
      retry();
    }
  }

  private void leaseGranted(HttpOutcome outcome) {
    try {
      if (outcome.status() == 200 || outcome.status() == 201) {
        incarnation =
            KeyValueStoreCodec.readLeaseGrant(Json.parseFields(outcome.response().body()));
        leaseGrantedAt = timers.now();
        stepTo(State.ANNOUNCING);
        return;
      }
    } catch (MalformedMessageException e) {
      LOG.info("lease response cannot be read: {}", e.getMessage());
    }
    retry();
  }

  private void announced(TransactionResult result) {
    if (state != State.ANNOUNCING) {
      return; // the member record has been observed meanwhile
    }
    switch (result.kind()) {
      case COMMITTED -> {
        becomeLive(result.revision());
        stepAfter(RENEW_INTERVAL);
      }
      case LEASE_EXPIRED -> stepTo(State.ASKING_FOR_LEASE);
      case TOO_LARGE -> {
        omitLimits();
        enter(State.ASKING_FOR_LEASE);
        retry();
      }
      case CONFLICT -> stepTo(State.READING_LEVEL);
      default -> retry(); // rewriting the same record is harmless
    }
  }

  private void becomeLive(Revision since) {
    LOG.info("member {} is live, incarnation {}", member, incarnation);
    announced = since;
    enter(State.LIVE);
  }

  private void renewed(HttpOutcome outcome) {
    if (state != State.LIVE) {
      return; // became incompatible meanwhile
    }
    if (outcome.status() == 404) {
      LOG.info("incarnation {} has ended: its lease has expired", incarnation);
      stepTo(State.ASKING_FOR_LEASE);
    } else {
      stepAfter(outcome.status() == 200 ? RENEW_INTERVAL : RETRY_DELAY);
    }
  }

  private void levelRead(HttpOutcome outcome) {
    try {
      if (outcome.status() == 200) {
        var in = Json.parseFields(outcome.response().body());
        level = FeatureLevelRecord.read(in.raw("Value"), new Revision(in.unsigned("Stamp")));
      } else if (outcome.status() == 404) {
        level = FeatureLevelRecord.NONE;
      } else {
        retry();
        return;
      }
    } catch (MalformedMessageException e) {
      becomeIncompatible("the level on record cannot be read: " + e.getMessage());
      return;
    }
    if (!build.supports(level.level())) {
      becomeIncompatible(unsupportedLevel());
    } else if (unreadable.getAsBoolean()) {
      becomeIncompatible(incompatibility.isEmpty() ? "a record cannot be read" : incompatibility);
    } else {
      // A lease granted some time ago may have expired: announcing detects that.
      stepTo(state == State.INCOMPATIBLE ? State.REVOKING_FORMER_LEASE : State.ANNOUNCING);
    }
  }

  private String unsupportedLevel() {
    return "level "
        + level.level()
        + " is in force, and this build ("
        + build.name()
        + ") does levels "
        + build.minLevel()
        + " to "
        + build.maxLevel();
  }

  /** Stops taking part: leadership and shards fail over as if this controller had ended. */
  private void becomeIncompatible(String why) {
    if (!incompatibility.equals(why) || state != State.INCOMPATIBLE) {
      LOG.error("cannot take part: {}", why);
    }
    boolean wasLive = state == State.LIVE;
    incompatibility = why;
    enter(State.INCOMPATIBLE);
    if (wasLive) {
      store.revokeLease(incarnation, ended -> {});
    }
    stepAfter(RECHECK_INTERVAL);
  }

  /**
   * Follows the records: a live member that finds an unreadable record or an unsupported level is a
   * member no longer.
   */
  public void ledgerChanged(ClusterStateCache cache) {
    unreadable = () -> !cache.unreadable().isEmpty();
    if (state == State.ANNOUNCING && isOnRecord(cache)) {
      // The announcement was applied, but its response is lost or late: others already lease shards
      // to this incarnation, and its lease would expire while the response is awaited
      // (docs/incidents/announced-and-not-told.md).
      planned++;
      becomeLive(cache.version(StoreKeys.member(member)));
      stepAfter(
          timers.now().since(leaseGrantedAt).isLongerThan(RENEW_INTERVAL)
              ? TimeSpan.ZERO
              : RENEW_INTERVAL);
    }
    if (state != State.LIVE) {
      return;
    }
    level = cache.level();
    if (!build.supports(level.level())) {
      becomeIncompatible(unsupportedLevel());
    } else if (!cache.unreadable().isEmpty()) {
      Map.Entry<String, String> first = cache.unreadable().entrySet().iterator().next();
      becomeIncompatible("record " + first.getKey() + " cannot be read: " + first.getValue());
    } else if (!announced.isAfter(cache.revision()) && !isOnRecord(cache)) {
      // A delayed announcement of a former incarnation has replaced this one's record and will be
      // deleted with the former lease. Without a new announcement this incarnation would continue,
      // and even lead, as a member unknown to the others.
      LOG.info(
          "the record of incarnation {} of member {} was replaced: announcing again",
          incarnation,
          member);
      planned++;
      stepTo(State.ANNOUNCING);
    }
  }

  private boolean isOnRecord(ClusterStateCache cache) {
    ControllerRecord record = cache.members().get(member);
    return record != null && record.incarnation().equals(incarnation);
  }

  /** A precondition that this incarnation is still a member. */
  public Precondition aliveCondition(ClusterStateCache cache) {
    Revision version = cache.version(StoreKeys.member(member));
    return new Precondition(StoreKeys.member(member), version);
  }
}
