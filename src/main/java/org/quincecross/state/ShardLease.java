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
 * A block and the controller that it is leased to. The token is the revision of the lease with
 * which the present holder's unbroken holding began: it rises with every change of holder, and only
 * then. A machine that joins has been in no other block, so it has seen no higher token.
 *
 * @param holder the controller that may give commands to the machines
 * @param life the life of the holder that the lease was made for
 * @param leaving machines that are to go back to the cloud, and get no more work
 * @param version of this record
 * @param others fields of the record that this build does not know: they are written as they were
 *     read
 */
public record ShardLease(
    ShardId id,
    ControllerId holder,
    Incarnation life,
    String type,
    String zone,
    boolean spot,
    Map<MachineId, Machine> machines,
    Set<MachineId> leaving,
    FencingToken token,
    Revision version,
    Map<String, Object> others) {
  private static final Set<String> KNOWN =
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
        throw new MalformedMessageException("bad machine in a block");
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
        in.unknownFields(KNOWN));
  }

  public Map<String, Object> write() {
    List<Object> list = new ArrayList<>();
    for (Machine machine : machines.values()) {
      list.add(List.of(machine.id().text(), machine.address().toString()));
    }
    Map<String, Object> out =
        Json.object(
            "holder",
            holder.text(),
            "life",
            life.value(),
            "type",
            type,
            "zone",
            zone,
            "spot",
            spot,
            "machines",
            list);
    out.putAll(others);
    if (token.value() != 0) {
      out.put("token", token.value());
    }
    if (!leaving.isEmpty()) {
      out.put("leaving", leaving.stream().map(MachineId::text).toList());
    }
    return out;
  }

  /**
   * The most bytes that the record comes to as long as it has these machines: with the longest
   * token, and all of them leaving.
   */
  public int mostBytes() {
    return Json.write(
            new ShardLease(
                    id,
                    holder,
                    new Incarnation(Long.MAX_VALUE),
                    type,
                    zone,
                    spot,
                    machines,
                    machines.keySet(),
                    new FencingToken(Long.MAX_VALUE),
                    version,
                    others)
                .write())
        .length;
  }

  /** A block as it is to be leased for the first time. */
  public static ShardLease first(ShardId id, ControllerRecord holder, Machine machine) {
    return new ShardLease(
        id,
        holder.member(),
        holder.life(),
        machine.type(),
        machine.zone(),
        machine.spot(),
        Map.of(machine.id(), machine),
        Set.of(),
        FencingToken.NONE,
        Revision.NONE,
        Map.of());
  }

  /** The block under another holder, whose token is the revision of the lease to be written. */
  public ShardLease heldBy(ControllerRecord member) {
    return new ShardLease(
        id,
        member.member(),
        member.life(),
        type,
        zone,
        spot,
        machines,
        leaving,
        FencingToken.NONE,
        version,
        others);
  }

  public ShardLease with(Machine machine) {
    Map<MachineId, Machine> more = new LinkedHashMap<>(machines);
    more.put(machine.id(), machine);
    return new ShardLease(
        id, holder, life, type, zone, spot, more, leaving, token, version, others);
  }

  public ShardLease without(MachineId machine) {
    Map<MachineId, Machine> fewer = new LinkedHashMap<>(machines);
    fewer.remove(machine);
    Set<MachineId> left = new LinkedHashSet<>(leaving);
    left.remove(machine);
    return new ShardLease(id, holder, life, type, zone, spot, fewer, left, token, version, others);
  }

  public ShardLease leaving(MachineId machine) {
    Set<MachineId> more = new LinkedHashSet<>(leaving);
    more.add(machine);
    return new ShardLease(
        id, holder, life, type, zone, spot, machines, more, token, version, others);
  }
}
