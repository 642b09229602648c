package org.quincecross.state;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.Revision;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.AuditEntry;
import org.quincecross.replicated.AuditPage;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.ReplicatedRecord;

/** The records of one kind as the ledger has them. */
public final class ReplicatedRecordIndex<S, C> {
  /** A record. */
  public record Held<S>(ReplicatedRecord<S> kept, Revision version) {
    public S state() {
      return kept.state();
    }
  }

  private final RecordKind<S, C> kind;
  private final Map<String, Held<S>> held = new TreeMap<>();
  private final Map<String, String> unreadable = new TreeMap<>();

  /**
   * The pages of the trail, each with the latest revision on it: what is on them is read when it is
   * asked for.
   */
  private final TreeMap<Integer, Revision> pages = new TreeMap<>();

  private AuditPage lastPage = AuditPage.EMPTY;

  ReplicatedRecordIndex(RecordKind<S, C> kind) {
    this.kind = kind;
  }

  public RecordKind<S, C> kind() {
    return kind;
  }

  /** A record, or null where there is none. */
  public Held<S> get(String id) {
    return held.get(id);
  }

  /** The state of a record; the initial one where there is none. */
  public S state(String id) {
    Held<S> record = held.get(id);
    return record == null ? kind.initial() : record.state();
  }

  /** All records that can be read, by their names. */
  public Map<String, Held<S>> all() {
    return Collections.unmodifiableMap(held);
  }

  /** The records that cannot be read, each with the reason. */
  public Map<String, String> unreadable() {
    return Collections.unmodifiableMap(unreadable);
  }

  /** The numbers of the trail's pages, each with the latest revision of its lines. */
  public Map<Integer, Revision> pages() {
    return Collections.unmodifiableMap(pages);
  }

  /** The number of the page that is being filled; 0 where there is none yet. */
  public int lastPageNumber() {
    return pages.isEmpty() ? 0 : pages.lastKey();
  }

  /** The page that is being filled. */
  public AuditPage lastPage() {
    return lastPage;
  }

  public String key(String id) {
    return StoreKeys.agreed(new RecordId(kind.name(), id));
  }

  public String pageKey(int page) {
    return StoreKeys.agreedPage(kind.name(), page);
  }

  void put(String id, Object value, Revision version) throws MalformedMessageException {
    if (value == null) {
      held.remove(id);
      unreadable.remove(id);
      return;
    }
    try {
      held.put(id, new Held<>(ReplicatedRecord.read(kind, value), version));
      unreadable.remove(id);
    } catch (MalformedRecordException e) {
      // What it was before is not what it is now.
      held.remove(id);
      unreadable.put(id, e.getMessage());
      throw new MalformedMessageException(e.getMessage());
    }
  }

  void putPage(int page, Object value) throws MalformedMessageException {
    if (value == null) {
      pages.remove(page);
      lastPage = pages.isEmpty() || page > pages.lastKey() ? AuditPage.EMPTY : lastPage;
      return;
    }
    try {
      AuditPage read = AuditPage.read(value);
      pages.put(page, read.latest());
      if (page == pages.lastKey()) {
        lastPage = read;
      }
    } catch (MalformedRecordException e) {
      throw new MalformedMessageException(e.getMessage());
    }
  }

  /** What a value of a page says. */
  static List<AuditEntry> lines(Object value) throws MalformedMessageException {
    try {
      return AuditPage.read(value).lines();
    } catch (MalformedRecordException e) {
      throw new MalformedMessageException(e.getMessage());
    }
  }
}
