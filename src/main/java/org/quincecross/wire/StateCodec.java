package org.quincecross.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Revision;

/** What is said to the state service and what it says. */
public final class StateCodec {
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
  public record Guard(String key, Revision version) {}

  /** A change of a transaction: a put, or a delete where the value is null. */
  public record Change(String key, Object value, Incarnation lease) {
    public static Change put(String key, Object value) {
      return new Change(key, value, null);
    }

    public static Change delete(String key) {
      return new Change(key, null, null);
    }
  }

  private StateCodec() {}

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

  public static Incarnation readGrant(Fields in) throws BadMessage {
    return new Incarnation(in.unsigned("Hold"));
  }

  public static byte[] writeTxn(List<Guard> guards, List<Change> changes) {
    List<Object> ifs = new ArrayList<>();
    for (Guard guard : guards) {
      ifs.add(Json.object("Path", guard.key(), "Stamp", Json.unsigned(guard.version().number())));
    }
    List<Object> thens = new ArrayList<>();
    for (Change change : changes) {
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

  public static Revision readRevision(Fields in) throws BadMessage {
    return new Revision(in.unsigned("Epoch"));
  }

  /** The keys whose conditions failed. */
  public static List<String> readFailed(Fields in) throws BadMessage {
    return in.texts("failed");
  }

  public static Page readList(Fields in) throws BadMessage {
    List<Entry> entries = new ArrayList<>();
    for (Fields item : in.objects("Items")) {
      entries.add(
          new Entry(item.text("Path"), item.raw("Value"), new Revision(item.unsigned("Stamp"))));
    }
    return new Page(entries, in.flagOr("More", false), readRevision(in));
  }

  public static Page readWatch(Fields in) throws BadMessage {
    List<Entry> entries = new ArrayList<>();
    for (Object item : in.listOrEmpty("Log")) {
      Fields event = Fields.of(item, "an item of Log");
      Revision version = new Revision(event.unsigned("Stamp"));
      entries.add(
          event.has("Set")
              ? new Entry(event.text("Set"), event.raw("Value"), version)
              : new Entry(event.text("Drop"), null, version));
    }
    return new Page(entries, false, readRevision(in));
  }
}
