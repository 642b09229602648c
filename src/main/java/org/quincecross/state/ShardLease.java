package org.quincecross.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The lease of a shard to a controller. The fencing token is the revision at which the present
 * owner's uninterrupted ownership began: it rises with every change of owner and only then. A
 * machine that joins has been in no other shard and so has seen no higher token.
 *
 * @param owner the controller that may command the machines
 * @param incarnation the incarnation of the owner that the lease was granted to
 * @param leaving machines that are being drained and terminated
 * @param version the version of this record
 * @param unknownFields fields that this build does not know; they are written as they were read
 */
public record ShardLease(
    ShardId id,
    ControllerId owner,
    Incarnation incarnation,
    String type,
    String zone,
    boolean spot,
    Map<MachineId, Machine> machines,
    Set<MachineId> leaving,
    FencingToken token,
    Revision version,
    Map<String, Object> unknownFields) {
  private static final Set<String> KNOWN_FIELDS =
      Set.of("holder", "life", "type", "zone", "spot", "machines", "token", "leaving");

  static ShardLease read(ShardId id, Object value, Revision version)
      throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a block");
    String type = in.string("type");
    String zone = in.string("zone");
    boolean spot = in.bool("spot");
    Map<MachineId, Machine> machines = new LinkedHashMap<>();
    for (Object item : in.list("machines")) {
      if (!(item instanceof List<?> pair)
          || pair.size() != 2
          || !(pair.get(0) instanceof String name)
          || !(pair.get(1) instanceof String address)
          || Endpoint.parse(address) == null) {
        throw new MalformedMessageException("malformed machine in a shard record");
      }
      MachineId machine = new MachineId(name);
      machines.put(machine, new Machine(machine, Endpoint.parse(address), type, zone, spot));
    }
    Set<MachineId> leaving = new LinkedHashSet<>();
    if (in.has("leaving")) {
      in.strings("leaving").forEach(name -> leaving.add(new MachineId(name)));
    }
    return new ShardLease(
        id,
        new ControllerId(in.string("holder")),
        new Incarnation(in.unsigned("life")),
        type,
        zone,
        spot,
        machines,
        leaving,
        new FencingToken(in.has("token") ? in.unsigned("token") : version.value()),
        version,
        in.unknownFields(KNOWN_FIELDS));
  }

  /** Writes the record. */
  public Map<String, Object> write() {
    List<Object> list = new ArrayList<>();
    for (Machine machine : machines.values()) {
      list.add(List.of(machine.id().text(), machine.address().toString()));
    }
    Map<String, Object> out =
        Json.object(
            "holder",
            owner.text(),
            "life",
            incarnation.value(),
            "type",
            type,
            "zone",
            zone,
            "spot",
            spot,
            "machines",
            list);
    out.putAll(unknownFields);
    if (token.value() != 0) {
      out.put("token", token.value());
    }
    if (!leaving.isEmpty()) {
      out.put("leaving", leaving.stream().map(MachineId::text).toList());
    }
    return out;
  }

  /**
   * The maximum size of the record with these machines: with the longest token and all machines
   * leaving.
   */
  public int maxBytes() {
    return Json.write(
            new ShardLease(
                    id,
                    owner,
                    new Incarnation(Long.MAX_VALUE),
                    type,
                    zone,
                    spot,
                    machines,
                    machines.keySet(),
                    new FencingToken(Long.MAX_VALUE),
                    version,
                    unknownFields)
                .write())
        .length;
  }

  /** A new shard with its first lease. */
  public static ShardLease first(ShardId id, ControllerRecord owner, Machine machine) {
    return new ShardLease(
        id,
        owner.id(),
        owner.incarnation(),
        machine.type(),
        machine.zone(),
        machine.spot(),
        Map.of(machine.id(), machine),
        Set.of(),
        FencingToken.NONE,
        Revision.NONE,
        Map.of());
  }

  /**
   * The shard leased to another owner; its token is the revision of the lease that is about to be
   * written.
   */
  public ShardLease leasedTo(ControllerRecord member) {
    return new ShardLease(
        id,
        member.id(),
        member.incarnation(),
        type,
        zone,
        spot,
        machines,
        leaving,
        FencingToken.NONE,
        version,
        unknownFields);
  }

  /** The shard with one more machine. */
  public ShardLease with(Machine machine) {
    Map<MachineId, Machine> more = new LinkedHashMap<>(machines);
    more.put(machine.id(), machine);
    return new ShardLease(
        id, owner, incarnation, type, zone, spot, more, leaving, token, version, unknownFields);
  }

  /** The shard without a machine. */
  public ShardLease without(MachineId machine) {
    Map<MachineId, Machine> fewer = new LinkedHashMap<>(machines);
    fewer.remove(machine);
    Set<MachineId> left = new LinkedHashSet<>(leaving);
    left.remove(machine);
    return new ShardLease(
        id, owner, incarnation, type, zone, spot, fewer, left, token, version, unknownFields);
  }

  /** The shard with a machine marked as leaving. */
  public ShardLease leaving(MachineId machine) {
    Set<MachineId> more = new LinkedHashSet<>(leaving);
    more.add(machine);
    return new ShardLease(
        id, owner, incarnation, type, zone, spot, machines, more, token, version, unknownFields);
  }
}
