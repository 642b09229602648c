package org.quincecross.state;

import java.util.LinkedHashMap;
import java.util.Map;
import org.quincecross.model.Revision;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Json;

/** Lets tests of other packages change a ledger as the follower does. */
public final class LedgerTool {
  private LedgerTool() {}

  /** As it comes from the state service: through JSON. */
  public static void put(Ledger ledger, String key, Map<String, Object> value, long revision) {
    try {
      ledger.apply(
          key, value == null ? null : Json.parse(Json.write(value)), new Revision(revision));
    } catch (MalformedMessageException e) {
      throw new IllegalArgumentException(e);
    }
  }

  public static void advance(Ledger ledger, long revision) {
    ledger.advance(new Revision(revision));
  }

  /** Reads all records anew; each was last changed with {@code revision}. */
  public static void load(Ledger ledger, Map<String, Map<String, Object>> values, long revision) {
    Map<String, Ledger.StateEntry> entries = new LinkedHashMap<>();
    values.forEach(
        (key, value) -> {
          try {
            entries.put(
                key, new Ledger.StateEntry(Json.parse(Json.write(value)), new Revision(revision)));
          } catch (MalformedMessageException e) {
            throw new IllegalArgumentException(e);
          }
        });
    ledger.load(entries, new Revision(revision));
  }
}
