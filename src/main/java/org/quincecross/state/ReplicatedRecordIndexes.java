package org.quincecross.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quincecross.model.Revision;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.RecordKind;

/**
 * The indexes of all kinds of replicated records. Records of unknown kinds are ignored unless they
 * block tasks from starting: a controller that cannot read those takes no part.
 */
public final class ReplicatedRecordIndexes {
  private final Map<String, ReplicatedRecordIndex<?, ?>> indexes = new LinkedHashMap<>();

  /** Registers a kind, before the first of its records is read. */
  public <S, C> ReplicatedRecordIndex<S, C> add(RecordKind<S, C> kind) {
    ReplicatedRecordIndex<S, C> index = new ReplicatedRecordIndex<>(kind);
    if (indexes.put(kind.name(), index) != null) {
      throw new IllegalArgumentException("two kinds named " + kind.name());
    }
    return index;
  }

  /** The index of a kind, or null if the kind is unknown. */
  public ReplicatedRecordIndex<?, ?> index(String kind) {
    return indexes.get(kind);
  }

  /** The indexes of all kinds. */
  public Collection<ReplicatedRecordIndex<?, ?>> indexes() {
    return indexes.values();
  }

  /** The number of records of all known kinds. */
  public int count() {
    int sum = 0;
    for (ReplicatedRecordIndex<?, ?> index : indexes.values()) {
      sum += index.all().size();
    }
    return sum;
  }

  /** Applies a record; returns its id, or null for the fence and for pages of an audit trail. */
  RecordId put(String key, Object value, Revision version) throws MalformedMessageException {
    String name = key.substring(StoreKeys.REPLICATED.length());
    int slash = name.indexOf('/');
    if (slash < 0) {
      return null; // the fence carries no data besides its version
    }
    ReplicatedRecordIndex<?, ?> index = indexes.get(name.substring(0, slash));
    String id = name.substring(slash + 1);
    if (index == null) {
      if (value instanceof Map<?, ?> map && Boolean.TRUE.equals(map.get("must"))) {
        throw new MalformedMessageException(
            "a record of a kind that this build does not know, and that may block tasks");
      }
      return null;
    }
    if (id.startsWith(StoreKeys.AUDIT_PAGE_PREFIX)) {
      index.putPage(page(id), value);
      return null;
    }
    index.put(id, value, version);
    return new RecordId(index.kind().name(), id);
  }

  private static int page(String id) throws MalformedMessageException {
    try {
      return Integer.parseInt(id.substring(StoreKeys.AUDIT_PAGE_PREFIX.length()));
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("malformed key of an audit page");
    }
  }

  /** Whether a controller that cannot read the record must not act on the others. */
  boolean isEssential(String key) {
    String name = key.substring(StoreKeys.REPLICATED.length());
    int slash = name.indexOf('/');
    if (slash < 0 || name.startsWith(StoreKeys.AUDIT_PAGE_PREFIX, slash + 1)) {
      return false;
    }
    ReplicatedRecordIndex<?, ?> index = indexes.get(name.substring(0, slash));
    return index == null || index.kind().canBlockTasks();
  }
}
