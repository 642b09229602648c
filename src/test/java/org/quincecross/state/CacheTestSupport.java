package org.quincecross.state;

import java.util.LinkedHashMap;
import java.util.Map;
import org.quincecross.model.Revision;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/** Lets tests of other packages change a cache as the state watcher does. */
public final class CacheTestSupport {
  private CacheTestSupport() {}

  /** Applies a record as it arrives from the state service, through JSON. */
  public static void put(
      ClusterStateCache cache, String key, Map<String, Object> value, long revision) {
    try {
      cache.apply(
          key, value == null ? null : Json.parse(Json.write(value)), new Revision(revision));
    } catch (MalformedMessageException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Marks all changes up to a revision as applied. */
  public static void advance(ClusterStateCache cache, long revision) {
    cache.advance(new Revision(revision));
  }

  /** Reads all records again; each was last changed at {@code revision}. */
  public static void load(
      ClusterStateCache cache, Map<String, Map<String, Object>> values, long revision) {
    Map<String, ClusterStateCache.StateEntry> entries = new LinkedHashMap<>();
    values.forEach(
        (key, value) -> {
          try {
            entries.put(
                key,
                new ClusterStateCache.StateEntry(
                    Json.parse(Json.write(value)), new Revision(revision)));
          } catch (MalformedMessageException e) {
            throw new IllegalArgumentException(e);
          }
        });
    cache.load(entries, new Revision(revision));
  }
}
