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
 * Builds a transaction within the limits; the version of every changed key becomes a precondition.
 */
final class TransactionBuilder {
  /** The maximum size of a transaction, less room for its preconditions. */
  private static final int MAX_BYTES = 40 * 1024;

  private final ClusterStateCache cache;
  private final int maxMutations;
  private final int maxValueBytes;
  private final BiPredicate<String, Integer> mayPut;
  private final List<Precondition> preconditions = new ArrayList<>();
  private final List<Mutation> mutations = new ArrayList<>();
  private int bytes;

  TransactionBuilder(ClusterStateCache cache, int mostChanges, int mostValue) {
    this(cache, mostChanges, mostValue, (key, bytes) -> true);
  }

  /**
   * Creates an empty transaction.
   *
   * @param mayPut whether a value of a size may be written to a key
   */
  TransactionBuilder(
      ClusterStateCache cache,
      int mostChanges,
      int mostValue,
      BiPredicate<String, Integer> mayPut) {
    this.mayPut = mayPut;
    this.cache = cache;
    this.maxMutations = mostChanges;
    this.maxValueBytes = mostValue;
  }

  /**
   * Adds the preconditions of all of the leader's transactions: the leadership, the feature level,
   * and from level 3 on the fence of blocked tasks.
   */
  void requireLeadership() {
    require(cache.leaderKey());
    // what was planned with the features of one level is void under another
    require(StoreKeys.LEVEL);
    if (Feature.AGREED_RECORDS.isEnabledAt(cache.level().level())) {
      require(
          StoreKeys
              .REPLICATED_FENCE); // a plan that predates a change of blocked tasks may allocate
      // them
    }
  }

  void require(String key) {
    Revision version = cache.version(key);
    preconditions.add(new Precondition(key, version));
  }

  int remaining() {
    return maxMutations - mutations.size();
  }

  boolean isEmpty() {
    return mutations.isEmpty();
  }

  /** The maximum size of a value. */
  int maxValueBytes() {
    return maxValueBytes;
  }

  /**
   * Adds a put that is valid only while another key keeps its present version; false if there is no
   * room.
   */
  boolean put(String key, Map<String, Object> value, String other) {
    boolean isIn = put(key, value);
    if (isIn) {
      require(other);
    }
    return isIn;
  }

  /** Adds a put; false if the transaction is full or the value too large. */
  boolean put(String key, Map<String, Object> value) {
    if (remaining() < 1) {
      return false;
    }
    int length = Json.write(value).length;
    int size = length + key.length() + 64;
    if (length > maxValueBytes || bytes + size > MAX_BYTES || !mayPut.test(key, length)) {
      return false;
    }
    bytes += size;
    require(key);
    mutations.add(Mutation.put(key, value));
    return true;
  }

  /** Adds a delete; false if the transaction is full. */
  boolean delete(String key) {
    if (remaining() < 1) {
      return false;
    }
    require(key);
    mutations.add(Mutation.delete(key));
    return true;
  }

  List<Precondition> preconditions() {
    return preconditions;
  }

  List<Mutation> mutations() {
    return mutations;
  }
}
