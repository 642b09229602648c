package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/** The messages between the leader and the cloud. */
public final class CloudCodec {
  public static final String CATALOG = "/catalog";
  public static final String MACHINES = "/hosts";
  public static final String RETURN = "/hosts/return";

  /** The state of an instance as the cloud lists it. */
  public enum Status {
    BOOTING,
    RUNNING,
    FAILED
  }

  /** An instance in the cloud's list. */
  public record CloudInstance(Machine machine, Status status, TimeSpan age) {}

  /** A page of the cloud's list. */
  public record Page(List<CloudInstance> machines, boolean more) {}

  private static final Map<String, Status> STATUSES =
      Map.of("starting", Status.BOOTING, "running", Status.RUNNING, "failed", Status.FAILED);

  private CloudCodec() {}

  /** Reads the machine types that the cloud offers. */
  public static List<MachineType> readCatalog(JsonFields in) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (JsonFields type : in.objects("Hulls")) {
      types.add(
          new MachineType(
              type.string("Sku"),
              new Resources(
                  type.nonNegativeNumber("Cpus"),
                  type.has("Cards") ? type.nonNegativeNumber("Cards") : 0,
                  type.nonNegativeNumber("MemGb")),
              type.nonNegativeNumber("CacheGb"),
              type.nonNegativeNumber("PullGbPerS"),
              type.nonNegativeNumber("Rate"),
              type.has("MarketPrice")
                  ? type.nonNegativeNumber("MarketPrice")
                  : type.nonNegativeNumber("Rate"),
              TimeSpan.ofSeconds(type.nonNegativeNumber("StartupS")),
              type.strings("Yards")));
    }
    return types;
  }

  /** Writes machine types, as the cloud offers them and as they are stored. */
  public static Map<String, Object> writeCatalog(Collection<MachineType> types) {
    List<Object> list = new ArrayList<>();
    for (MachineType type : types) {
      list.add(
          Json.object(
              "Sku",
              type.name(),
              "Cpus",
              type.capacity().cpus(),
              "Cards",
              type.capacity().gpus(),
              "MemGb",
              type.capacity().memoryGb(),
              "CacheGb",
              type.cacheGb(),
              "PullGbPerS",
              type.pullGbPerSecond(),
              "Rate",
              type.hourlyPrice(),
              "MarketPrice",
              type.hourlySpotPrice(),
              "StartupS",
              type.bootTime().seconds(),
              "Yards",
              type.zones()));
    }
    return Json.object("Hulls", list);
  }

  /** Writes a request to launch instances. */
  public static byte[] writeLaunchRequest(
      String request, String type, String zone, boolean spot, int count) {
    return Json.write(
        Json.object(
            "Charter", request, "Hull", type, "Yard", zone, "Loaners", spot, "HowMany", count));
  }

  /** Reads the ids of launched instances. */
  public static List<MachineId> readLaunched(JsonFields in) throws MalformedMessageException {
    List<MachineId> machines = new ArrayList<>();
    for (String name : in.strings("Hosts")) {
      machines.add(new MachineId(name));
    }
    return machines;
  }

  /** Writes a request to terminate instances. */
  public static byte[] writeTerminateRequest(Collection<MachineId> machines) {
    List<String> names = new ArrayList<>();
    for (MachineId machine : machines) {
      names.add(machine.text());
    }
    return Json.write(Json.object("Hosts", names));
  }

  /** The path of a page of the instance list, starting after a machine. */
  public static String listPath(MachineId after, int limit) {
    return MACHINES + "?" + (after == null ? "" : "Since=" + after + "&") + "Page=" + limit;
  }

  /** Reads a page of the instance list. */
  public static Page readPage(JsonFields in) throws MalformedMessageException {
    List<CloudInstance> machines = new ArrayList<>();
    for (JsonFields item : in.objects("Hosts")) {
      Endpoint address = item.has("Addr") ? Endpoint.parse(item.string("Addr")) : null;
      machines.add(
          new CloudInstance(
              new Machine(
                  new MachineId(item.string("Uid")),
                  address,
                  item.string("Hull"),
                  item.string("Yard"),
                  item.boolOr("Loaners", false)),
              item.enumValue("Status", STATUSES),
              TimeSpan.ofSeconds(item.nonNegativeNumber("AgeS"))));
    }
    return new Page(machines, in.boolOr("More", false));
  }
}
