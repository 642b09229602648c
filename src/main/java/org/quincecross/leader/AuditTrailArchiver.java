package org.quincecross.leader;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;
import org.quincecross.replicated.AuditEntry;
import org.quincecross.replicated.AuditPage;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.ReplicatedRecord;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ReplicatedRecordIndex;

/**
 * Moves what the trails of agreed records have grown to onto pages, now and then: the leader alone
 * does, so a page has one writer.
 */
final class AuditTrailArchiver {
  /**
   * A record with so many lines is worth writing for their sake; and one that takes so much of a
   * value.
   */
  private static final int MOST_LINES = 6;

  private static final double LARGEST_SHARE = 0.5;

  private static final TimeSpan MOVE_EVERY = TimeSpan.ofSeconds(5);

  private final ClusterStateCache cache;
  private final Set<RecordId> toLookAt = new LinkedHashSet<>();
  private MonotonicTime movedAt;

  AuditTrailArchiver(ClusterStateCache cache) {
    this.cache = cache;
  }

  /** Follows the records. */
  void changed(ClusterStateCache.Changes changes) {
    toLookAt.addAll(changes.replicatedRecords());
  }

  /**
   * Whether some record may have a trail to be moved, and none has been moved for a while: however
   * much else there is to write.
   */
  boolean isDue(MonotonicTime now) {
    return !toLookAt.isEmpty() && (movedAt == null || now.since(movedAt).isLongerThan(MOVE_EVERY));
  }

  /** Adds what is to be moved to a transaction that has nothing else. */
  void plan(TransactionBuilder transaction, MonotonicTime now) {
    movedAt = now;
    for (ReplicatedRecordIndex<?, ?> index : cache.replicatedRecords().indexes()) {
      if (transaction.room() >= 2) {
        move(transaction, index);
      }
    }
  }

  // Whether the page was replaced by a longer one or by the next: the instance tells.
  @SuppressWarnings("ReferenceEquality")
  private <S> void move(TransactionBuilder transaction, ReplicatedRecordIndex<S, ?> index) {
    AuditPage page = index.lastPage();
    int number = Math.max(1, index.lastPageNumber());
    AuditPage next = page;
    for (RecordId id : List.copyOf(toLookAt)) {
      if (!id.kind().equals(index.kind().name())) {
        continue;
      }
      ReplicatedRecordIndex.Held<S> held = index.get(id.id());
      if (held == null || !isLong(index, held.record(), transaction)) {
        toLookAt.remove(id);
        continue;
      }
      if (transaction.room() < 2) {
        break; // what is moved changes, and is looked at again then; what has no room now stays
        // here
      }
      List<AuditEntry> lines = held.record().lines(held.version());
      int fit = fitting(next, lines, transaction);
      if (fit == 0 && next == page) {
        number++; // the page is full: the next one begins
        next = AuditPage.EMPTY;
        fit = fitting(next, lines, transaction);
      }
      if (fit == 0) {
        break;
      }
      if (!transaction.put(
          index.key(id.id()), held.record().without(fit, held.version()).write(index.kind()))) {
        // Too large without its trail too. Moved all the same, its lines came to a page again and
        // again.
        toLookAt.remove(id);
        continue;
      }
      next = next.with(lines.subList(0, fit));
    }
    if (next != page
        && !next.lines().isEmpty()
        && !transaction.put(index.pageKey(number), next.write())) {
      throw new IllegalStateException("no room for page " + number + " of " + index.kind().name());
    }
  }

  /** How many of the first lines fit a page beside what it has. */
  private static int fitting(
      AuditPage page, List<AuditEntry> lines, TransactionBuilder transaction) {
    int fit = lines.size();
    while (fit > 0
        && Json.write(page.with(lines.subList(0, fit)).write()).length > transaction.mostValue()) {
      fit--;
    }
    return fit;
  }

  private static <S> boolean isLong(
      ReplicatedRecordIndex<S, ?> index, ReplicatedRecord<S> kept, TransactionBuilder transaction) {
    return kept.trail().size() >= MOST_LINES
        || (!kept.trail().isEmpty()
            && Json.write(kept.write(index.kind())).length
                > LARGEST_SHARE * transaction.mostValue());
  }
}
