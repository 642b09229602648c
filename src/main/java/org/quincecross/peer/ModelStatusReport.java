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
import org.quincecross.modelserving.ClusterDemand;

/**
 * A controller's report on models: a section of its peer reports that is sent in full each time.
 */
public record ModelStatusReport(
    TimeSpan since, Map<String, ClusterDemand.ModelReport> demand, Set<TaskId> running) {
  public static final String SECTION = "models";
  private static final int MAX_ITEMS = 100_000;

  /** Writes the section. */
  public byte[] write() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(since.nanos());
      out.packMapHeader(demand.size());
      for (Map.Entry<String, ClusterDemand.ModelReport> each : demand.entrySet()) {
        out.packString(each.getKey());
        out.packInt(each.getValue().inFlight());
        out.packLong(each.getValue().idleTime().nanos());
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

  /** Reads a section; null if it is malformed. */
  public static ModelStatusReport read(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      TimeSpan since = new TimeSpan(in.unpackLong());
      Map<String, ClusterDemand.ModelReport> demand = new HashMap<>();
      for (int i = Math.min(MAX_ITEMS, in.unpackMapHeader()); i > 0; i--) {
        demand.put(
            in.unpackString(),
            new ClusterDemand.ModelReport(in.unpackInt(), new TimeSpan(in.unpackLong())));
      }
      Set<TaskId> running = new HashSet<>();
      for (int i = Math.min(MAX_ITEMS, in.unpackArrayHeader()); i > 0; i--) {
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
