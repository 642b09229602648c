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
 * Changes the feature level in force by a single transaction of the leader. Its preconditions are
 * the leadership, the present level, and the record of every member, so it fails if a member has
 * joined, left or restarted since it was planned. Transactions that the leader sent before it have
 * the former leadership as a precondition and fail after it, however late they are applied.
 */
public final class FeatureLevelController {
  private static final Logger LOG = LoggerFactory.getLogger(FeatureLevelController.class);
  private static final TimeSpan INTERVAL = TimeSpan.ofSeconds(1);

  private final ClusterStateCache cache;
  private final Settings settings;
  private final Membership membership;
  private final Rollout rollout = new Rollout();
  private Rollout.Decision decision = new Rollout.Decision(Rollout.State.SETTLED, null, "");
  private MonotonicTime evaluatedAt;

  FeatureLevelController(ClusterStateCache cache, Settings settings, Membership membership) {
    this.cache = cache;
    this.settings = settings;
    this.membership = membership;
  }

  /** The last decision: whether the next level can be put in force, and what prevents it. */
  public Rollout.Decision decision() {
    return decision;
  }

  /**
   * Decides at intervals whether to change the level; if so, {@link #preconditions} and {@link
   * #mutations} change it.
   */
  boolean evaluate(MonotonicTime now) {
    if (evaluatedAt != null && INTERVAL.isLongerThan(now.since(evaluatedAt))) {
      return false;
    }
    evaluatedAt = now;
    Rollout.Decision before = decision;
    decision = rollout.evaluate(site(), now);
    if (!decision.reason().equals(before.reason()) && !decision.reason().isEmpty()) {
      LOG.info(
          "feature level {}: {}: {}", cache.level().level(), decision.state(), decision.reason());
    }
    if (decision.to() != null) {
      LOG.info("feature level {} is put in force after {}", decision.to(), cache.level().level());
    }
    return decision.to() != null;
  }

  private Rollout.Site site() {
    OperatorSettings operators = cache.operatorSettingsOrDefaults();
    Set<ControllerId> expected = new HashSet<>();
    expected.add(settings.self());
    settings.peers().forEach(peer -> expected.add(peer.id()));
    expected.removeIf(member -> operators.removedControllers().contains(member.text()));
    Map<ControllerId, Rollout.LiveController> alive = new HashMap<>();
    cache
        .members()
        .values()
        .forEach(
            member ->
                alive.put(
                    member.id(), new Rollout.LiveController(member.build(), member.incarnation())));
    FeatureLevel most =
        operators.maxLevel() == 0
            ? new FeatureLevel(FeatureLevel.MAX_NUMBER)
            : new FeatureLevel(operators.maxLevel());
    FeatureLevel inForce = cache.level().level();
    int onlyHere = recordsRequiring(inForce);
    return new Rollout.Site(inForce, expected, alive, most, 0, onlyHere);
  }

  /** The number of records that the previous level could not read. */
  private int recordsRequiring(FeatureLevel level) {
    if (level.equals(Feature.ALLOCATION_CHANGES.since())) {
      return cache.allocationsWithDelta().size();
    }
    return level.equals(Feature.AGREED_RECORDS.since()) ? cache.replicatedRecords().count() : 0;
  }

  /** Whether records that only the present level can read are being rewritten. */
  boolean isLowering() {
    return decision.state() == Rollout.State.LOWERING;
  }

  /** The shards whose records the coming level could not read. */
  List<ShardId> shardsToRewrite() {
    return isLowering() ? List.copyOf(cache.allocationsWithDelta()) : List.of();
  }

  List<Precondition> preconditions() {
    List<Precondition> guards = new ArrayList<>();
    guards.add(new Precondition(cache.leaderKey(), cache.version(cache.leaderKey())));
    guards.add(new Precondition(StoreKeys.LEVEL, cache.level().version()));
    Set<ControllerId> members = new HashSet<>(cache.members().keySet());
    members.add(settings.self());
    settings.peers().forEach(peer -> members.add(peer.id()));
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

  List<Mutation> mutations() {
    List<Mutation> changes = new ArrayList<>();
    changes.add(Mutation.put(StoreKeys.LEVEL, FeatureLevelRecord.write(decision.to())));
    changes.add(
        new Mutation(
            ClusterStateCache.leaderKey(decision.to()), membership.record(), membership.life()));
    boolean moves = Feature.LEADERSHIP_MOVED.isEnabledAt(decision.to());
    if (moves && !Feature.LEADERSHIP_MOVED.isEnabledAt(cache.level().level())) {
      // Builds without levels see a leader there and never try to lead themselves.
      changes.add(
          Mutation.put(
              StoreKeys.LEADER,
              Json.object("member", "level-" + decision.to(), "life", 0, "zone", "")));
    } else if (!moves && Feature.LEADERSHIP_MOVED.isEnabledAt(cache.level().level())) {
      changes.add(Mutation.delete(StoreKeys.MOVED_LEADER));
    }
    return changes;
  }
}
