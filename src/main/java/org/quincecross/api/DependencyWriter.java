package org.quincecross.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.quincecross.model.JobId;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobDependencies;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.TransactionResult;

/**
 * Writes the dependency list of a new job, if its own record has no room for it, before that record
 * is written.
 *
 * <p>A part always has the same content, so a write that is repeated, late, or made after its user
 * has given up does no harm, and a repetition at the same controller writes only what is not stored
 * yet.
 */
final class DependencyWriter {
  /**
   * The number of parts in one transaction: at less than 2 KiB each far below its 64 KiB; fewer if
   * the limit is lower.
   */
  private static final int MAX_PARTS_PER_TRANSACTION = 4;

  private final KeyValueStoreClient store;
  private final ClusterStateCache cache;
  private final int maxChanges;

  DependencyWriter(KeyValueStoreClient store, ClusterStateCache cache, int maxChanges) {
    this.store = store;
    this.cache = cache;
    this.maxChanges = Math.min(MAX_PARTS_PER_TRANSACTION, maxChanges);
  }

  /**
   * Writes the parts that are not stored yet; {@code durable} receives whether all of them are
   * stored, after one transaction for every few parts.
   */
  void write(Set<JobId> waitsOn, Consumer<Boolean> durable) {
    List<Mutation> changes = new ArrayList<>();
    for (Map.Entry<String, Map<String, Object>> part : JobDependencies.parts(waitsOn).entrySet()) {
      if (!cache.hasDependencyPart(part.getKey())) {
        changes.add(Mutation.put(part.getKey(), part.getValue()));
      }
    }
    write(changes, durable);
  }

  private void write(List<Mutation> changes, Consumer<Boolean> durable) {
    if (changes.isEmpty()) {
      durable.accept(true);
      return;
    }
    int count = Math.min(maxChanges, changes.size());
    store.commit(
        List.of(),
        changes.subList(0, count),
        result -> {
          if (result.kind() == TransactionResult.Kind.COMMITTED) {
            write(changes.subList(count, changes.size()), durable);
          } else {
            durable.accept(false);
          }
        });
  }
}
