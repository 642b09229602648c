package org.quincecross.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.DemandSum;

/**
 * What a controller tells of models, as a section of its reports: all of it each time.
 *
 * @param since for how long it has listened to those who want models
 * @param demand what it has seen of that, of the models that anybody has wanted here
 * @param running the replicas that run in its blocks
 */
public record ModelStatusReport(
    TimeSpan since, Map<String, DemandSum.Told> demand, Set<TaskId> running) {
  public static final String SECTION = "models";
  private static final int MOST_ITEMS = 100_000;

  public byte[] write() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(since.nanos());
      out.packMapHeader(demand.size());
      for (Map.Entry<String, DemandSum.Told> each : demand.entrySet()) {
        out.packString(each.getKey());
        out.packInt(each.getValue().inFlight());
        out.packLong(each.getValue().quiet().nanos());
      }
      out.packArrayHeader(running.size());
      for (TaskId task : running) {
        out.packString(task.toString());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** What a section says; null where it cannot be read. */
  public static ModelStatusReport read(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      TimeSpan since = new TimeSpan(in.unpackLong());
      Map<String, DemandSum.Told> demand = new HashMap<>();
      for (int i = Math.min(MOST_ITEMS, in.unpackMapHeader()); i > 0; i--) {
        demand.put(
            in.unpackString(), new DemandSum.Told(in.unpackInt(), new TimeSpan(in.unpackLong())));
      }
      Set<TaskId> running = new HashSet<>();
      for (int i = Math.min(MOST_ITEMS, in.unpackArrayHeader()); i > 0; i--) {
        TaskId task = TaskId.parse(in.unpackString());
        if (task != null) {
          running.add(task);
        }
      }
      return new ModelStatusReport(since, demand, running);
    } catch (IOException | MessagePackException e) {
      return null;
    }
  }
}
