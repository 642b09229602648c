package org.quincecross.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.quincecross.model.Revision;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.rollout.Feature;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.StoreKeys;

/**
 * A transaction being put together: every changed key is guarded by its version, and the limits are
 * kept.
 */
final class TransactionBuilder {
  /** What a transaction may hold overall, less room for its guards. */
  private static final int MOST_BYTES = 40 * 1024;

  private final ClusterStateCache cache;
  private final int mostChanges;
  private final int mostValue;
  private final BiPredicate<String, Integer> mayPut;
  private final List<Precondition> guards = new ArrayList<>();
  private final List<Mutation> changes = new ArrayList<>();
  private int bytes;

  TransactionBuilder(ClusterStateCache cache, int mostChanges, int mostValue) {
    this(cache, mostChanges, mostValue, (key, bytes) -> true);
  }

  /**
   * @param mayPut whether a value of so many bytes may be put there
   */
  TransactionBuilder(
      ClusterStateCache cache,
      int mostChanges,
      int mostValue,
      BiPredicate<String, Integer> mayPut) {
    this.mayPut = mayPut;
    this.cache = cache;
    this.mostChanges = mostChanges;
    this.mostValue = mostValue;
  }

  /**
   * By what all is guarded that a leader plans: who leads, the level, and from level 3 on what
   * keeps tasks back.
   */
  void guardAll() {
    guard(cache.leaderKey());
    // What is decided by the level's features is of no use under another level.
    guard(StoreKeys.LEVEL);
    if (Feature.AGREED_RECORDS.isIn(cache.level().level())) {
      guard(
          StoreKeys
              .REPLICATED_FENCE); // what was planned before tasks were kept back may allocate them
    }
  }

  void guard(String key) {
    Revision version = cache.version(key);
    guards.add(new Precondition(key, version));
  }

  int room() {
    return mostChanges - changes.size();
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  /** The largest value that the state service takes. */
  int mostValue() {
    return mostValue;
  }

  /**
   * Adds a put that is of use only while another key has the version that it has now; false if
   * there is no room for it.
   */
  boolean put(String key, Map<String, Object> value, String other) {
    boolean isIn = put(key, value);
    if (isIn) {
      guard(other);
    }
    return isIn;
  }

  /** Adds a put; false if the transaction is full or the value too large for the state service. */
  boolean put(String key, Map<String, Object> value) {
    if (room() < 1) {
      return false;
    }
    int length = Json.write(value).length;
    int size = length + key.length() + 64;
    if (length > mostValue || bytes + size > MOST_BYTES || !mayPut.test(key, length)) {
      return false;
    }
    bytes += size;
    guard(key);
    changes.add(Mutation.put(key, value));
    return true;
  }

  /** Adds a delete; false if the transaction is full. */
  boolean delete(String key) {
    if (room() < 1) {
      return false;
    }
    guard(key);
    changes.add(Mutation.delete(key));
    return true;
  }

  List<Precondition> guards() {
    return guards;
  }

  List<Mutation> changes() {
    return changes;
  }
}
