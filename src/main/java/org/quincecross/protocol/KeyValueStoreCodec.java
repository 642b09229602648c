package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Revision;

/** The requests to the key-value store and its responses. */
public final class KeyValueStoreCodec {
  public static final String TRANSACTION_PATH = "/txn";
  public static final String LEASES_PATH = "/holds";

  /** The message of the only refusal (400) that means that the lease has expired. */
  public static final String LEASE_EXPIRED = "no such lease";

  /** A key with its value; {@code value} is null in an event that deleted the key. */
  public record Entry(String key, Object value, Revision version) {}

  /** A page of keys, or the events of a watch. */
  public record Page(List<Entry> entries, boolean more, Revision revision) {}

  /**
   * A precondition of a transaction (compare-and-swap): the key has this version, {@link
   * Revision#NONE} if it does not exist.
   */
  public record Precondition(String key, Revision version) {}

  /** A mutation of a transaction: a put, or a delete where the value is null. */
  public record Mutation(String key, Object value, Incarnation lease) {
    /** A mutation that puts a value. */
    public static Mutation put(String key, Object value) {
      return new Mutation(key, value, null);
    }

    /** A mutation that deletes a key. */
    public static Mutation delete(String key) {
      return new Mutation(key, null, null);
    }
  }

  private KeyValueStoreCodec() {}

  /** The path of a key. */
  public static String keyPath(String key) {
    return "/keys/" + key;
  }

  /** The path of a page of keys, starting after a key. */
  public static String listPath(String prefix, String after, int limit) {
    return "/keys?Under=" + prefix + (after == null ? "" : "&Since=" + after) + "&Page=" + limit;
  }

  /** The path of a watch (long poll) for changes after a revision. */
  public static String watchPath(String prefix, Revision after, long waitMs) {
    return "/follow?Under=" + prefix + "&Since=" + after + "&BlockMs=" + waitMs;
  }

  /** The path of a lease. */
  public static String leasePath(Incarnation lease) {
    return LEASES_PATH + "/" + lease;
  }

  /** The path that renews a lease. */
  public static String renewPath(Incarnation lease) {
    return LEASES_PATH + "/" + lease + "/touch";
  }

  /** Writes a request for a lease. */
  public static byte[] writeLeaseGrant(long ttlMs) {
    return Json.write(Json.object("LifeMs", ttlMs));
  }

  /** Reads the id of a granted lease. */
  public static Incarnation readLeaseGrant(JsonFields in) throws MalformedMessageException {
    return new Incarnation(in.unsigned("Hold"));
  }

  /** Writes a transaction: all mutations are applied if all preconditions hold. */
  public static byte[] writeTransaction(List<Precondition> guards, List<Mutation> changes) {
    List<Object> ifs = new ArrayList<>();
    for (Precondition guard : guards) {
      ifs.add(Json.object("Path", guard.key(), "Stamp", Json.unsigned(guard.version().value())));
    }
    List<Object> thens = new ArrayList<>();
    for (Mutation change : changes) {
      if (change.value() == null) {
        thens.add(Json.object("Drop", change.key()));
      } else {
        Map<String, Object> put = Json.object("Set", change.key(), "Value", change.value());
        if (change.lease() != null) {
          put.put("Hold", Json.unsigned(change.lease().value()));
        }
        thens.add(put);
      }
    }
    return Json.write(Json.object("Guards", ifs, "Apply", thens));
  }

  /** Reads the revision of a committed transaction. */
  public static Revision readRevision(JsonFields in) throws MalformedMessageException {
    return new Revision(in.unsigned("Epoch"));
  }

  /** Reads the keys whose preconditions failed. */
  public static List<String> readFailedPreconditions(JsonFields in)
      throws MalformedMessageException {
    return in.strings("failed");
  }

  /** Reads a page of keys. */
  public static Page readList(JsonFields in) throws MalformedMessageException {
    List<Entry> entries = new ArrayList<>();
    for (JsonFields item : in.objects("Items")) {
      entries.add(
          new Entry(item.string("Path"), item.raw("Value"), new Revision(item.unsigned("Stamp"))));
    }
    return new Page(entries, in.boolOr("More", false), readRevision(in));
  }

  /** Reads the events of a watch. */
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
