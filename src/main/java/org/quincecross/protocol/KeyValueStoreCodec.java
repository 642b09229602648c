package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Revision;

/** What is said to the state service and what it says. */
public final class KeyValueStoreCodec {
  public static final String TXN = "/txn";
  public static final String LEASES = "/holds";

  /** What a refusal (400) for an ended lease says, and no other. */
  public static final String NO_LEASE = "no such lease";

  /**
   * A key as the state service has it; {@code value} is null where an event says that the key is
   * gone.
   */
  public record Entry(String key, Object value, Revision version) {}

  /** A page of keys, or the changes that a watch saw. */
  public record Page(List<Entry> entries, boolean more, Revision revision) {}

  /**
   * A condition of a transaction: the key has this version, {@link Revision#NONE} for no such key.
   */
  public record Precondition(String key, Revision version) {}

  /** A change of a transaction: a put, or a delete where the value is null. */
  public record Mutation(String key, Object value, Incarnation lease) {
    public static Mutation put(String key, Object value) {
      return new Mutation(key, value, null);
    }

    public static Mutation delete(String key) {
      return new Mutation(key, null, null);
    }
  }

  private KeyValueStoreCodec() {}

  public static String keyPath(String key) {
    return "/keys/" + key;
  }

  public static String listPath(String prefix, String after, int limit) {
    return "/keys?Under=" + prefix + (after == null ? "" : "&Since=" + after) + "&Page=" + limit;
  }

  public static String watchPath(String prefix, Revision after, long waitMs) {
    return "/follow?Under=" + prefix + "&Since=" + after + "&BlockMs=" + waitMs;
  }

  public static String leasePath(Incarnation lease) {
    return LEASES + "/" + lease;
  }

  public static String renewPath(Incarnation lease) {
    return LEASES + "/" + lease + "/touch";
  }

  public static byte[] writeGrant(long ttlMs) {
    return Json.write(Json.object("LifeMs", ttlMs));
  }

  public static Incarnation readGrant(JsonFields in) throws MalformedMessageException {
    return new Incarnation(in.unsigned("Hold"));
  }

  public static byte[] writeTxn(List<Precondition> guards, List<Mutation> changes) {
    List<Object> ifs = new ArrayList<>();
    for (Precondition guard : guards) {
      ifs.add(Json.object("Path", guard.key(), "Stamp", Json.unsigned(guard.version().number())));
    }
    List<Object> thens = new ArrayList<>();
    for (Mutation change : changes) {
      if (change.value() == null) {
        thens.add(Json.object("Drop", change.key()));
      } else {
        Map<String, Object> put = Json.object("Set", change.key(), "Value", change.value());
        if (change.lease() != null) {
          put.put("Hold", Json.unsigned(change.lease().number()));
        }
        thens.add(put);
      }
    }
    return Json.write(Json.object("Guards", ifs, "Apply", thens));
  }

  public static Revision readRevision(JsonFields in) throws MalformedMessageException {
    return new Revision(in.unsigned("Epoch"));
  }

  /** The keys whose conditions failed. */
  public static List<String> readFailed(JsonFields in) throws MalformedMessageException {
    return in.strings("failed");
  }

  public static Page readList(JsonFields in) throws MalformedMessageException {
    List<Entry> entries = new ArrayList<>();
    for (JsonFields item : in.objects("Items")) {
      entries.add(
          new Entry(item.string("Path"), item.raw("Value"), new Revision(item.unsigned("Stamp"))));
    }
    return new Page(entries, in.boolOr("More", false), readRevision(in));
  }

  public static Page readWatch(JsonFields in) throws MalformedMessageException {
    List<Entry> entries = new ArrayList<>();
    for (Object item : in.listOrEmpty("Log")) {
      JsonFields event = JsonFields.of(item, "an item of Log");
      Revision version = new Revision(event.unsigned("Stamp"));
      entries.add(
          event.has("Set")
              ? new Entry(event.string("Set"), event.raw("Value"), version)
              : new Entry(event.string("Drop"), null, version));
    }
    return new Page(entries, false, readRevision(in));
  }
}
