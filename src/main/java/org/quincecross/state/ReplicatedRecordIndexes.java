package org.quincecross.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.quincecross.model.Revision;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.RecordKind;

/**
 * The agreed records in the ledger. A kind that this controller does not know is left alone, unless
 * its records keep tasks from running: who cannot read such a record cannot know what must not run,
 * and takes no part.
 */
public final class ReplicatedRecordIndexes {
  private final Map<String, ReplicatedRecordIndex<?, ?>> books = new LinkedHashMap<>();

  /** Has the records of a kind read; before the first of them is. */
  public <S, C> ReplicatedRecordIndex<S, C> add(RecordKind<S, C> kind) {
    ReplicatedRecordIndex<S, C> book = new ReplicatedRecordIndex<>(kind);
    if (books.put(kind.name(), book) != null) {
      throw new IllegalArgumentException("two kinds named " + kind.name());
    }
    return book;
  }

  /** The records of a kind, or null where it is not known. */
  public ReplicatedRecordIndex<?, ?> book(String kind) {
    return books.get(kind);
  }

  public Collection<ReplicatedRecordIndex<?, ?>> books() {
    return books.values();
  }

  /** How many records there are of all known kinds. */
  public int count() {
    int sum = 0;
    for (ReplicatedRecordIndex<?, ?> book : books.values()) {
      sum += book.all().size();
    }
    return sum;
  }

  /** Takes a record; the id of it, or null where it is none but the fence or a page of a trail. */
  RecordId put(String key, Object value, Revision version) throws MalformedMessageException {
    String name = key.substring(StoreKeys.AGREED.length());
    int slash = name.indexOf('/');
    if (slash < 0) {
      return null; // the fence: its version says all
    }
    ReplicatedRecordIndex<?, ?> book = books.get(name.substring(0, slash));
    String id = name.substring(slash + 1);
    if (book == null) {
      if (value instanceof Map<?, ?> map && Boolean.TRUE.equals(map.get("must"))) {
        throw new MalformedMessageException(
            "a record of a kind that this build does not know, and that keeps tasks from running");
      }
      return null;
    }
    if (id.startsWith(StoreKeys.AGREED_PAGE)) {
      book.putPage(page(id), value);
      return null;
    }
    book.put(id, value, version);
    return new RecordId(book.kind().name(), id);
  }

  private static int page(String id) throws MalformedMessageException {
    try {
      return Integer.parseInt(id.substring(StoreKeys.AGREED_PAGE.length()));
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("bad key of a page");
    }
  }

  /** Whether who cannot read a record may not act on the others. */
  boolean isEssential(String key) {
    String name = key.substring(StoreKeys.AGREED.length());
    int slash = name.indexOf('/');
    if (slash < 0 || name.startsWith(StoreKeys.AGREED_PAGE, slash + 1)) {
      return false;
    }
    ReplicatedRecordIndex<?, ?> book = books.get(name.substring(0, slash));
    return book == null || book.kind().restrains();
  }
}
