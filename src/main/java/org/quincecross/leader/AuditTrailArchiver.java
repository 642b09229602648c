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
 * Moves audit entries from records that have accumulated them to pages. Only the leader does, so
 * that each page has a single writer.
 */
final class AuditTrailArchiver {
  /**
   * A record with this many entries is worth rewriting, or one whose entries take this share of a
   * value.
   */
  private static final int MAX_LINES_IN_RECORD = 6;

  private static final double MAX_VALUE_SHARE = 0.5;

  private static final TimeSpan INTERVAL = TimeSpan.ofSeconds(5);

  private final ClusterStateCache cache;
  private final Set<RecordId> recordsToCheck = new LinkedHashSet<>();
  private MonotonicTime movedAt;

  AuditTrailArchiver(ClusterStateCache cache) {
    this.cache = cache;
  }

  /** Records which replicated records have changed. */
  void cacheChanged(ClusterStateCache.Changes changes) {
    recordsToCheck.addAll(changes.replicatedRecords());
  }

  /**
   * Whether entries may have to be moved and none were for an interval, regardless of other pending
   * writes.
   */
  boolean isDue(MonotonicTime now) {
    return !recordsToCheck.isEmpty()
        && (movedAt == null || now.since(movedAt).isLongerThan(INTERVAL));
  }

  /** Adds the moves to a transaction that contains nothing else. */
  void plan(TransactionBuilder transaction, MonotonicTime now) {
    movedAt = now;
    for (ReplicatedRecordIndex<?, ?> index : cache.replicatedRecords().indexes()) {
      if (transaction.remaining() >= 2) {
        move(transaction, index);
      }
    }
  }

  // A page is replaced by a longer instance or by the next page.
  @SuppressWarnings("ReferenceEquality")
  private <S> void move(TransactionBuilder transaction, ReplicatedRecordIndex<S, ?> index) {
    AuditPage page = index.lastPage();
    int number = Math.max(1, index.lastPageNumber());
    AuditPage next = page;
    for (RecordId id : List.copyOf(recordsToCheck)) {
      if (!id.kind().equals(index.kind().name())) {
        continue;
      }
      ReplicatedRecordIndex.Held<S> stored = index.get(id.id());
      if (stored == null || !isLong(index, stored.record(), transaction)) {
        recordsToCheck.remove(id);
        continue;
      }
      if (transaction.remaining() < 2) {
        break; // a moved record changes and is checked again then; one without room now stays in
        // the set
      }
      List<AuditEntry> lines = stored.record().auditEntries(stored.version());
      int fit = fitting(next, lines, transaction);
      if (fit == 0 && next == page) {
        number++; // the page is full: continue on the next one
        next = AuditPage.EMPTY;
        fit = fitting(next, lines, transaction);
      }
      if (fit == 0) {
        break;
      }
      if (!transaction.put(
          index.key(id.id()),
          stored.record().withoutEntries(fit, stored.version()).write(index.kind()))) {
        // The record is too large even without its trail; moving entries would repeat them on page
        // after page.
        recordsToCheck.remove(id);
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

  /** The number of leading entries that fit on a page beside its content. */
  private static int fitting(
      AuditPage page, List<AuditEntry> lines, TransactionBuilder transaction) {
    int fit = lines.size();
    while (fit > 0
        && Json.write(page.with(lines.subList(0, fit)).write()).length
            > transaction.maxValueBytes()) {
      fit--;
    }
    return fit;
  }

  private static <S> boolean isLong(
      ReplicatedRecordIndex<S, ?> index, ReplicatedRecord<S> kept, TransactionBuilder transaction) {
    return kept.trail().size() >= MAX_LINES_IN_RECORD
        || (!kept.trail().isEmpty()
            && Json.write(kept.write(index.kind())).length
                > MAX_VALUE_SHARE * transaction.maxValueBytes());
  }
}
