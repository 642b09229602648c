package org.quincecross.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.Feature;
import org.quincecross.rollout.FeatureLevel;
import org.quincecross.rollout.Rollout;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.FeatureLevelRecord;
import org.quincecross.state.Membership;
import org.quincecross.state.OperatorSettings;
import org.quincecross.state.StoreKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts another level in force: one transaction of the leader, guarded by the leadership, by the
 * level as it was, and by the record of every member. So it fails if any of them has come, gone or
 * been restarted since it was looked at, and the leader's transactions from before it, which are
 * guarded by where the leadership was written, fail after it, however late they are applied.
 */
public final class FeatureLevelController {
  private static final Logger LOG = LoggerFactory.getLogger(FeatureLevelController.class);
  private static final TimeSpan LOOK_EVERY = TimeSpan.ofSeconds(1);

  private final ClusterStateCache cache;
  private final Settings settings;
  private final Membership membership;
  private final Rollout rollout = new Rollout();
  private Rollout.Decision decision = new Rollout.Decision(Rollout.State.SETTLED, null, "");
  private MonotonicTime looked;

  FeatureLevelController(ClusterStateCache cache, Settings settings, Membership membership) {
    this.cache = cache;
    this.settings = settings;
    this.membership = membership;
  }

  /** What holds the next level back, as of the last look. */
  public Rollout.Decision decision() {
    return decision;
  }

  /**
   * Looks, now and then, whether another level should be in force; if so, {@link #guards} and
   * {@link #changes} put it there.
   */
  boolean look(MonotonicTime now) {
    if (looked != null && LOOK_EVERY.isLongerThan(now.since(looked))) {
      return false;
    }
    looked = now;
    Rollout.Decision before = decision;
    decision = rollout.look(site(), now);
    if (!decision.why().equals(before.why()) && !decision.why().isEmpty()) {
      LOG.info("level {}: {}: {}", cache.level().level(), decision.state(), decision.why());
    }
    if (decision.to() != null) {
      LOG.info("level {} is put in force after {}", decision.to(), cache.level().level());
    }
    return decision.to() != null;
  }

  private Rollout.Site site() {
    OperatorSettings operators = cache.operatorSettingsOrDefaults();
    Set<ControllerId> expected = new HashSet<>();
    expected.add(settings.self());
    settings.peers().forEach(sibling -> expected.add(sibling.id()));
    expected.removeIf(member -> operators.removedControllers().contains(member.text()));
    Map<ControllerId, Rollout.Alive> alive = new HashMap<>();
    cache
        .members()
        .values()
        .forEach(
            member ->
                alive.put(member.id(), new Rollout.Alive(member.build(), member.incarnation())));
    FeatureLevel most =
        operators.maxLevel() == 0
            ? new FeatureLevel(FeatureLevel.MOST)
            : new FeatureLevel(operators.maxLevel());
    FeatureLevel inForce = cache.level().level();
    int onlyHere = onlyReadableAt(inForce);
    return new Rollout.Site(inForce, expected, alive, most, 0, onlyHere);
  }

  /** How many records the level before this one could not read. */
  private int onlyReadableAt(FeatureLevel level) {
    if (level.equals(Feature.ALLOCATION_CHANGES.since())) {
      return cache.allocationsWithDelta().size();
    }
    return level.equals(Feature.AGREED_RECORDS.since()) ? cache.replicatedRecords().count() : 0;
  }

  /** Whether what only the present level can read is being rewritten. */
  boolean isLowering() {
    return decision.state() == Rollout.State.LOWERING;
  }

  /** The blocks whose records the level that is to come could not read. */
  List<ShardId> toRewrite() {
    return isLowering() ? List.copyOf(cache.allocationsWithDelta()) : List.of();
  }

  List<Precondition> guards() {
    List<Precondition> guards = new ArrayList<>();
    guards.add(new Precondition(cache.leaderKey(), cache.version(cache.leaderKey())));
    guards.add(new Precondition(StoreKeys.LEVEL, cache.level().version()));
    Set<ControllerId> members = new HashSet<>(cache.members().keySet());
    members.add(settings.self());
    settings.peers().forEach(sibling -> members.add(sibling.id()));
    members.forEach(
        member ->
            guards.add(
                new Precondition(
                    StoreKeys.member(member), cache.version(StoreKeys.member(member)))));
    String otherPlace = ClusterStateCache.leaderKey(decision.to());
    if (!otherPlace.equals(cache.leaderKey())) {
      guards.add(new Precondition(otherPlace, cache.version(otherPlace)));
    }
    return guards;
  }

  List<Mutation> changes() {
    List<Mutation> changes = new ArrayList<>();
    changes.add(Mutation.put(StoreKeys.LEVEL, FeatureLevelRecord.write(decision.to())));
    changes.add(
        new Mutation(
            ClusterStateCache.leaderKey(decision.to()), membership.record(), membership.life()));
    boolean moves = Feature.LEADERSHIP_MOVED.isIn(decision.to());
    if (moves && !Feature.LEADERSHIP_MOVED.isIn(cache.level().level())) {
      // Builds from before levels see that somebody leads, and never do so themselves.
      changes.add(
          Mutation.put(
              StoreKeys.LEADER,
              Json.object("member", "level-" + decision.to(), "life", 0, "zone", "")));
    } else if (!moves && Feature.LEADERSHIP_MOVED.isIn(cache.level().level())) {
      changes.add(Mutation.delete(StoreKeys.MOVED_LEADER));
    }
    return changes;
  }
}
