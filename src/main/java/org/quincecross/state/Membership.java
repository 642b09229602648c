package org.quincecross.state;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
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
 * Keeps this controller's lease and member record. A controller that starts ends the lease of its
 * former life at once, which proves to the others that that life is over.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  private static final TimeSpan TTL = TimeSpan.ofSeconds(3);
  private static final TimeSpan RENEW_EVERY = TimeSpan.ofMillis(900);
  private static final TimeSpan RENEW_TIMEOUT = TimeSpan.ofSeconds(1);
  private static final TimeSpan RETRY = TimeSpan.ofMillis(300);

  /** One that cannot read the records looks again so often: they or the level may have changed. */
  private static final TimeSpan LOOK_AGAIN = TimeSpan.ofSeconds(5);

  /** The states of membership. */
  public enum State {
    ENDING_FORMER_LIFE,
    ASKING_FOR_LEASE,
    /**
     * The member record is written, on condition that the level in force is one that this build can
     * do.
     */
    ANNOUNCING,
    LIVE,
    /** The level in force has changed since it was last known here. */
    READING_LEVEL,
    /**
     * This build cannot do the level in force, or cannot read a record: it is no member, holds
     * nothing, and looks again.
     */
    UNABLE
  }

  private final Timers timers;
  private final KeyValueStoreClient client;
  private final ControllerId member;
  private final String zone;
  private final Build build;
  private final AnnouncedLimits terms;
  private FeatureLevelRecord level = FeatureLevelRecord.NONE;
  private String unable = "";
  private int planned;
  private BooleanSupplier unreadable = () -> false;
  private State state = State.ENDING_FORMER_LIFE;
  private Incarnation life = Incarnation.NONE;

  /** When the present life's lease was granted here; it runs from a moment before. */
  private MonotonicTime granted;

  private Revision announced = Revision.NONE;

  /** Whether the record goes without what it says of the settings: with that it is too large. */
  private boolean brief;

  /**
   * @param build what this controller can read and write
   * @param terms what it has been told that has to be the same on all
   * @param mostBytes of the member's record
   */
  public Membership(
      Timers timers,
      KeyValueStoreClient client,
      ControllerId member,
      String zone,
      Build build,
      AnnouncedLimits terms,
      int mostBytes) {
    this.timers = timers;
    this.client = client;
    this.member = member;
    this.zone = zone;
    this.build = build;
    this.terms = terms;
    if (Json.write(record()).length > mostBytes) {
      beBrief();
    }
  }

  /**
   * The record that names this controller goes without what it says of its settings, which says too
   * little but can be written.
   */
  public void beBrief() {
    if (!brief) {
      LOG.warn(
          "the record of member {} would be too large: it says nothing of its settings", member);
      brief = true;
    }
  }

  public State state() {
    return state;
  }

  public boolean isLive() {
    return state == State.LIVE;
  }

  /** The present life, {@link Incarnation#NONE} before the first. */
  public Incarnation life() {
    return life;
  }

  /** The record that names this controller, as a member or as the leader. */
  public Map<String, Object> record() {
    Map<String, Object> record =
        Json.object("member", member.text(), "life", life.value(), "zone", zone);
    if (!build.equals(Build.BEFORE_LEVELS)) {
      record.put("build", build.name());
      record.put("least", build.least().number());
      record.put("most", build.most().number());
      if (!brief) {
        record.put("marks", terms.marks());
        Map<String, Object> limits = new TreeMap<>();
        terms.limits().forEach((team, limit) -> limits.put(team, finite(limit)));
        record.put("limits", limits);
      }
    }
    return record;
  }

  /** Of a limit what is one: JSON has no word for infinity. */
  private static Map<String, Object> finite(Resources limit) {
    Map<String, Object> out = new TreeMap<>();
    Map.of("cpus", limit.cpus(), "gpus", limit.gpus(), "memory_gb", limit.memoryGb())
        .forEach(
            (name, amount) -> {
              if (!amount.isInfinite()) {
                out.put(name, amount);
              }
            });
    return out;
  }

  /** What this controller can read and write. */
  public Build build() {
    return build;
  }

  /** Why this controller cannot take part; empty where it can. */
  public String unable() {
    return state == State.UNABLE ? unable : "";
  }

  public void start() {
    step();
  }

  /** The one place where membership changes its state. */
  private void enter(State next) {
    state = next;
  }

  private void stepTo(State next) {
    enter(next);
    step();
  }

  /** The next step; one that was planned before is not made. */
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

  private void again() {
    stepAfter(RETRY);
  }

  private void step() {
    switch (state) {
      case ENDING_FORMER_LIFE ->
          client.readNow(KeyValueStoreCodec.keyPath(StoreKeys.member(member)), this::endFormer);
      case ASKING_FOR_LEASE -> client.grant(TTL, this::granted);
      // An older build that joins while the level rises either makes the switch fail, by this
      // record, or fails itself.
      case ANNOUNCING ->
          client.txnNow(
              List.of(new Precondition(StoreKeys.LEVEL, level.version())),
              List.of(new Mutation(StoreKeys.member(member), record(), life)),
              this::announced);
      case READING_LEVEL, UNABLE ->
          client.readNow(KeyValueStoreCodec.keyPath(StoreKeys.LEVEL), this::levelRead);
      case LIVE -> client.renew(life, RENEW_TIMEOUT, this::renewed);
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private void endFormer(HttpOutcome outcome) {
    if (outcome.status() == 404) {
      stepTo(State.ASKING_FOR_LEASE);
      return;
    }
    if (outcome.status() != 200) {
      again();
      return;
    }
    try {
      var in = Json.parseFields(outcome.response().body());
      if (!in.has("Hold")) {
        stepTo(State.ASKING_FOR_LEASE);
        return;
      }
      client.end(
          KeyValueStoreCodec.readLeaseGrant(in),
          ended -> {
            if (ended.status() == 200 || ended.status() == 204 || ended.status() == 404) {
              stepTo(State.ASKING_FOR_LEASE);
            } else {
              again();
            }
          });
    } catch (MalformedMessageException e) {
      again();
    }
  }

  private void granted(HttpOutcome outcome) {
    try {
      if (outcome.status() == 200 || outcome.status() == 201) {
        life = KeyValueStoreCodec.readLeaseGrant(Json.parseFields(outcome.response().body()));
        granted = timers.now();
        stepTo(State.ANNOUNCING);
        return;
      }
    } catch (MalformedMessageException e) {
      LOG.info("unreadable lease: {}", e.getMessage());
    }
    again();
  }

  private void announced(TransactionResult outcome) {
    if (state != State.ANNOUNCING) {
      return; // the record itself has told meanwhile
    }
    switch (outcome.kind()) {
      case COMMITTED -> {
        live(outcome.revision());
        stepAfter(RENEW_EVERY);
      }
      case NO_LEASE -> stepTo(State.ASKING_FOR_LEASE);
      case TOO_LARGE -> {
        beBrief();
        enter(State.ASKING_FOR_LEASE);
        again();
      }
      case CONFLICT -> stepTo(State.READING_LEVEL);
      default -> again(); // the record is the same however often it is written
    }
  }

  private void live(Revision since) {
    LOG.info("member {} lives, life {}", member, life);
    announced = since;
    enter(State.LIVE);
  }

  private void renewed(HttpOutcome outcome) {
    if (state != State.LIVE) {
      return; // found unable meanwhile
    }
    if (outcome.status() == 404) {
      LOG.info("life {} is over: its lease has run out", life);
      stepTo(State.ASKING_FOR_LEASE);
    } else {
      stepAfter(outcome.status() == 200 ? RENEW_EVERY : RETRY);
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
        again();
        return;
      }
    } catch (MalformedMessageException e) {
      becomeUnable("the level on record cannot be read: " + e.getMessage());
      return;
    }
    if (!build.can(level.level())) {
      becomeUnable(tooOld());
    } else if (unreadable.getAsBoolean()) {
      becomeUnable(unable.isEmpty() ? "a record cannot be read" : unable);
    } else {
      // A lease that was granted a while ago may have run out meanwhile: announcing finds that out.
      stepTo(state == State.UNABLE ? State.ENDING_FORMER_LIFE : State.ANNOUNCING);
    }
  }

  private String tooOld() {
    return "level "
        + level.level()
        + " is in force, and this build ("
        + build.name()
        + ") does levels "
        + build.least()
        + " to "
        + build.most();
  }

  /**
   * Takes no part from here on: what this controller leads and holds is taken over as if it had
   * ended.
   */
  private void becomeUnable(String why) {
    if (!unable.equals(why) || state != State.UNABLE) {
      LOG.error("cannot take part: {}", why);
    }
    boolean wasLive = state == State.LIVE;
    unable = why;
    enter(State.UNABLE);
    if (wasLive) {
      client.end(life, ended -> {});
    }
    stepAfter(LOOK_AGAIN);
  }

  /**
   * Follows the records: a live member that cannot read them, or not do the level in force, is none
   * any more.
   */
  public void ledgerChanged(ClusterStateCache ledger) {
    unreadable = () -> !ledger.unreadable().isEmpty();
    if (state == State.ANNOUNCING && isOnRecord(ledger)) {
      // Announced, and the answer lost or still to come: others lease blocks to this life already,
      // and its lease would run out
      // while the answer is waited for (docs/incidents/announced-and-not-told.md).
      planned++;
      live(ledger.version(StoreKeys.member(member)));
      stepAfter(
          timers.now().since(granted).isLongerThan(RENEW_EVERY) ? TimeSpan.ZERO : RENEW_EVERY);
    }
    if (state != State.LIVE) {
      return;
    }
    level = ledger.level();
    if (!build.can(level.level())) {
      becomeUnable(tooOld());
    } else if (!ledger.unreadable().isEmpty()) {
      Map.Entry<String, String> first = ledger.unreadable().entrySet().iterator().next();
      becomeUnable("record " + first.getKey() + " cannot be read: " + first.getValue());
    } else if (!announced.isAfter(ledger.revision()) && !isOnRecord(ledger)) {
      // A former life's announcement, held back in the network until after this one's, takes its
      // place and goes with the
      // former lease: this life would go on, renewed and even leading, as a member that nobody
      // knows.
      LOG.info("life {} of member {} is not on record any more: announced again", life, member);
      planned++;
      stepTo(State.ANNOUNCING);
    }
  }

  private boolean isOnRecord(ClusterStateCache ledger) {
    ControllerRecord record = ledger.members().get(member);
    return record != null && record.life().equals(life);
  }

  /** A condition that this life is not over. */
  public Precondition alive(ClusterStateCache ledger) {
    Revision version = ledger.version(StoreKeys.member(member));
    return new Precondition(StoreKeys.member(member), version);
  }
}
