package org.quincecross.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.quincecross.model.ControllerId;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.MalformedMessageException;

/** Converts peer reports to and from MessagePack. */
public final class PeerCodec {
  private static final int FORMAT = 3;
  private static final int MAX_ITEMS = 200_000;
  private static final int MAX_SECTION_BYTES = 1 << 22;

  private PeerCodec() {}

  /** Writes a report. */
  public static byte[] write(PeerHeartbeat heartbeat) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT);
      out.packString(heartbeat.member().text());
      out.packLong(heartbeat.incarnation().value());
      out.packLong(heartbeat.number());
      out.packLong(heartbeat.base());
      out.packMapHeader(heartbeat.receipts().size());
      for (Map.Entry<ControllerId, PeerHeartbeat.Receipt> receipt :
          heartbeat.receipts().entrySet()) {
        out.packString(receipt.getKey().text());
        out.packLong(receipt.getValue().incarnation().value());
        out.packLong(receipt.getValue().number());
        out.packBoolean(receipt.getValue().gap());
      }
      out.packLong(heartbeat.cacheRevision().value());
      out.packLong(heartbeat.sinceStoreContact().nanos());
      writeTexts(out, heartbeat.foreignMachines().stream().map(MachineId::text).toList());
      out.packArrayHeader(heartbeat.shards().size());
      for (PeerHeartbeat.ShardStatus shardStatus : heartbeat.shards()) {
        writeShard(out, shardStatus);
      }
      writeSections(out, heartbeat.sections());
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Builds from before sections cannot read them, so an empty map is omitted. */
  private static void writeSections(MessageBufferPacker out, Map<String, byte[]> sections)
      throws IOException {
    if (!sections.isEmpty()) {
      out.packMapHeader(sections.size());
      for (Map.Entry<String, byte[]> section : sections.entrySet()) {
        out.packString(section.getKey());
        out.packBinaryHeader(section.getValue().length);
        out.writePayload(section.getValue());
      }
    }
  }

  private static Map<String, byte[]> readSections(MessageUnpacker in)
      throws IOException, MalformedMessageException {
    Map<String, byte[]> sections = new HashMap<>();
    if (in.hasNext()) {
      for (int i = checkedCount(in.unpackMapHeader()); i > 0; i--) {
        String name = in.unpackString();
        int length = in.unpackBinaryHeader();
        if (length < 0 || length > MAX_SECTION_BYTES) {
          throw new MalformedMessageException("too long a section of a peer report");
        }
        sections.put(name, in.readPayload(length));
      }
    }
    return sections;
  }

  private static void writeShard(MessageBufferPacker out, PeerHeartbeat.ShardStatus shardStatus)
      throws IOException {
    out.packString(shardStatus.id().text());
    out.packLong(shardStatus.token().value());
    out.packLong(shardStatus.allocation().value());
    out.packBoolean(shardStatus.needsTokenRenewal());
    writeTexts(out, shardStatus.declinedJobs().stream().map(JobId::text).sorted().toList());
    out.packBoolean(shardStatus.hasAllMachines());
    writeTasks(out, shardStatus.completed());
    writeTasks(out, shardStatus.released());
    out.packMapHeader(shardStatus.running().size());
    for (Map.Entry<JobId, Integer> running : shardStatus.running().entrySet()) {
      out.packString(running.getKey().text());
      out.packInt(running.getValue());
    }
    out.packArrayHeader(shardStatus.machines().size());
    for (PeerHeartbeat.MachineState machine : shardStatus.machines()) {
      out.packString(machine.id().text());
      writeResources(out, machine.free());
      writeResources(out, machine.preemptible());
      out.packLong(machine.silentFor().nanos());
      out.packBoolean(machine.open());
      out.packBoolean(machine.fenced());
      out.packBoolean(machine.terminationNotice());
      out.packBoolean(machine.faulty());
      out.packBoolean(machine.movable());
      out.packInt(machine.tasks());
      out.packInt(machine.queued());
      writeTexts(out, machine.images());
      writeTexts(out, machine.imagesInUse());
    }
  }

  private static void writeResources(MessageBufferPacker out, Resources resources)
      throws IOException {
    out.packDouble(resources.cpus());
    out.packDouble(resources.gpus());
    out.packDouble(resources.memoryGb());
  }

  private static Resources readResources(MessageUnpacker in) throws IOException {
    return new Resources(in.unpackDouble(), in.unpackDouble(), in.unpackDouble());
  }

  private static void writeTexts(MessageBufferPacker out, List<String> texts) throws IOException {
    out.packArrayHeader(texts.size());
    for (String text : texts) {
      out.packString(text);
    }
  }

  private static List<String> readTexts(MessageUnpacker in)
      throws IOException, MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (int i = checkedCount(in.unpackArrayHeader()); i > 0; i--) {
      texts.add(in.unpackString());
    }
    return texts;
  }

  private static void writeTasks(MessageBufferPacker out, List<TaskId> tasks) throws IOException {
    out.packArrayHeader(tasks.size());
    for (TaskId task : tasks) {
      out.packString(task.toString());
    }
  }

  /** Reads a report. */
  public static PeerHeartbeat read(byte[] bytes) throws MalformedMessageException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      if (in.unpackInt() != FORMAT) {
        throw new MalformedMessageException("unknown format of a peer report");
      }
      ControllerId member = new ControllerId(in.unpackString());
      Incarnation incarnation = new Incarnation(in.unpackLong());
      long number = in.unpackLong();
      long base = in.unpackLong();
      if (base < 0 || number <= base) {
        throw new MalformedMessageException("a peer report that builds on a later one");
      }
      Map<ControllerId, PeerHeartbeat.Receipt> receipts = new HashMap<>();
      for (int i = checkedCount(in.unpackMapHeader()); i > 0; i--) {
        receipts.put(
            new ControllerId(in.unpackString()),
            new PeerHeartbeat.Receipt(
                new Incarnation(in.unpackLong()), in.unpackLong(), in.unpackBoolean()));
      }
      Revision cacheRevision = new Revision(in.unpackLong());
      TimeSpan unconfirmed = new TimeSpan(in.unpackLong());
      List<MachineId> foreignMachines = readTexts(in).stream().map(MachineId::new).toList();
      List<PeerHeartbeat.ShardStatus> shards = new ArrayList<>();
      for (int i = checkedCount(in.unpackArrayHeader()); i > 0; i--) {
        shards.add(readShard(in));
      }
      Map<String, byte[]> sections = readSections(in);
      if (in.hasNext()) {
        throw new MalformedMessageException("bytes left over in a peer report");
      }
      return new PeerHeartbeat(
          member,
          incarnation,
          number,
          base,
          receipts,
          cacheRevision,
          unconfirmed,
          shards,
          foreignMachines,
          sections);
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("unreadable peer report");
    }
  }

  private static PeerHeartbeat.ShardStatus readShard(MessageUnpacker in)
      throws IOException, MalformedMessageException {
    ShardId id = new ShardId(in.unpackString());
    FencingToken token = new FencingToken(in.unpackLong());
    Revision allocation = new Revision(in.unpackLong());
    boolean inDoubt = in.unpackBoolean();
    Set<JobId> declined = new HashSet<>();
    for (String name : readTexts(in)) {
      declined.add(job(name));
    }
    boolean isFull = in.unpackBoolean();
    List<TaskId> completed = readTasks(in);
    List<TaskId> released = readTasks(in);
    Map<JobId, Integer> running = new HashMap<>();
    for (int i = checkedCount(in.unpackMapHeader()); i > 0; i--) {
      running.put(job(in.unpackString()), in.unpackInt());
    }
    List<PeerHeartbeat.MachineState> machines = new ArrayList<>();
    for (int i = checkedCount(in.unpackArrayHeader()); i > 0; i--) {
      MachineId machine = new MachineId(in.unpackString());
      Resources free = readResources(in);
      Resources yielding = readResources(in);
      TimeSpan silent = new TimeSpan(in.unpackLong());
      boolean open = in.unpackBoolean();
      boolean fenced = in.unpackBoolean();
      boolean notice = in.unpackBoolean();
      boolean sick = in.unpackBoolean();
      boolean movable = in.unpackBoolean();
      int tasks = in.unpackInt();
      int queued = in.unpackInt();
      machines.add(
          new PeerHeartbeat.MachineState(
              machine,
              free,
              yielding,
              silent,
              open,
              fenced,
              notice,
              sick,
              movable,
              tasks,
              queued,
              readTexts(in),
              readTexts(in)));
    }
    return new PeerHeartbeat.ShardStatus(
        id, token, allocation, inDoubt, declined, isFull, completed, released, running, machines);
  }

  private static JobId job(String name) throws MalformedMessageException {
    JobId job = JobId.parse(name);
    if (job == null) {
      throw new MalformedMessageException("bad job id in a peer report");
    }
    return job;
  }

  private static List<TaskId> readTasks(MessageUnpacker in)
      throws IOException, MalformedMessageException {
    List<TaskId> tasks = new ArrayList<>();
    for (int i = checkedCount(in.unpackArrayHeader()); i > 0; i--) {
      TaskId task = TaskId.parse(in.unpackString());
      if (task == null) {
        throw new MalformedMessageException("bad task id in a peer report");
      }
      tasks.add(task);
    }
    return tasks;
  }

  private static int checkedCount(int items) throws MalformedMessageException {
    if (items > MAX_ITEMS) {
      throw new MalformedMessageException("too many items in a peer report");
    }
    return items;
  }
}
