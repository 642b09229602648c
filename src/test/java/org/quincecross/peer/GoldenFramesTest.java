package org.quincecross.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import org.quincecross.GoldenFiles;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Frames sent by earlier builds can be read, and are the same when written again; the order of map
 * entries is irrelevant.
 */
class GoldenFramesTest {
  @Test
  void framesOfEarlierBuildsRoundTrip() throws IOException, MalformedMessageException {
    List<String[]> frames = GoldenFiles.messages("frame");
    assertTrue(frames.size() > 10);
    for (String[] line : frames) {
      byte[] frame = Base64.getDecoder().decode(line[1]);
      assertEquals(values(frame), values(PeerCodec.write(PeerCodec.read(frame))));
    }
  }

  private static List<Value> values(byte[] frame) throws IOException {
    List<Value> values = new ArrayList<>();
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
      while (in.hasNext()) {
        values.add(in.unpackValue());
      }
    }
    return values;
  }
}
