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

/** The replicated records of one kind. */
public final class ReplicatedRecordIndex<S, C> {
  /** A record with its version. */
  public record Held<S>(ReplicatedRecord<S> record, Revision version) {
    /** The state of the record. */
    public S state() {
      return record.state();
    }
  }

  private final RecordKind<S, C> kind;
  private final Map<String, Held<S>> records = new TreeMap<>();
  private final Map<String, String> unreadable = new TreeMap<>();

  /**
   * The pages of the audit trail with the latest revision on each; their content is read from the
   * store when it is needed.
   */
  private final TreeMap<Integer, Revision> pages = new TreeMap<>();

  private AuditPage lastPage = AuditPage.EMPTY;

  ReplicatedRecordIndex(RecordKind<S, C> kind) {
    this.kind = kind;
  }

  /** The kind of these records. */
  public RecordKind<S, C> kind() {
    return kind;
  }

  /** A record, or null if there is none. */
  public Held<S> get(String id) {
    return records.get(id);
  }

  /** The state of a record; the initial state if there is none. */
  public S state(String id) {
    Held<S> record = records.get(id);
    return record == null ? kind.initial() : record.state();
  }

  /** All readable records by id. */
  public Map<String, Held<S>> all() {
    return Collections.unmodifiableMap(records);
  }

  /** The unreadable records with the reasons. */
  public Map<String, String> unreadable() {
    return Collections.unmodifiableMap(unreadable);
  }

  /** The numbers of the audit trail's pages with the latest revision on each. */
  public Map<Integer, Revision> pages() {
    return Collections.unmodifiableMap(pages);
  }

  /** The number of the page that is being filled; 0 before the first. */
  public int lastPageNumber() {
    return pages.isEmpty() ? 0 : pages.lastKey();
  }

  /** The page that is being filled. */
  public AuditPage lastPage() {
    return lastPage;
  }

  /** The key of a record. */
  public String key(String id) {
    return StoreKeys.replicatedRecord(new RecordId(kind.name(), id));
  }

  /** The key of a page of the audit trail. */
  public String pageKey(int page) {
    return StoreKeys.auditPage(kind.name(), page);
  }

  void put(String id, Object value, Revision version) throws MalformedMessageException {
    if (value == null) {
      records.remove(id);
      unreadable.remove(id);
      return;
    }
    try {
      records.put(id, new Held<>(ReplicatedRecord.read(kind, value), version));
      unreadable.remove(id);
    } catch (MalformedRecordException e) {
      // The former state must not pass for the present one.
      records.remove(id);
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

  /** The entries of a page. */
  static List<AuditEntry> lines(Object value) throws MalformedMessageException {
    try {
      return AuditPage.read(value).lines();
    } catch (MalformedRecordException e) {
      throw new MalformedMessageException(e.getMessage());
    }
  }
}
