package org.quincecross.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.quincecross.http.HttpParser.Phase;
import org.quincecross.http.HttpParser.Role;

class HttpParserTest {
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private static List<HttpRequest> readAll(byte[] bytes, List<Integer> cuts) {
    HttpParser parser = new HttpParser(Role.REQUESTS, MAX_BODY_BYTES);
    List<HttpRequest> requests = new ArrayList<>();
    int at = 0;
    int cut = 0;
    while (at < bytes.length) {
      int n =
          Math.min(
              bytes.length - at, cuts.isEmpty() ? bytes.length : cuts.get(cut++ % cuts.size()));
      ByteBuffer piece = ByteBuffer.wrap(bytes, at, n);
      while (piece.hasRemaining()) {
        if (parser.feed(piece) == Phase.COMPLETE) {
          requests.add(parser.request());
          parser.next();
        }
      }
      at += n;
    }
    return requests;
  }

  @Provide
  Arbitrary<byte[]> bodies() {
    return Arbitraries.bytes().array(byte[].class).ofMaxSize(3000);
  }

  @Property(tries = 300, seed = "1")
  void readsTheSameWhereverTheBytesAreSplit(
      @ForAll("bodies") byte[] first,
      @ForAll("bodies") byte[] second,
      @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 700) Integer> cuts) {
    byte[] one = HttpRequest.post("/v2/runs", first).encode("h:1");
    byte[] two = HttpRequest.post("/agent/beat?x=1", second).encode("h:1");
    byte[] both = new byte[one.length + two.length];
    System.arraycopy(one, 0, both, 0, one.length);
    System.arraycopy(two, 0, both, one.length, two.length);
    List<HttpRequest> read = readAll(both, cuts);
    assertEquals(2, read.size());
    assertArrayEquals(first, read.get(0).body());
    assertEquals("/agent/beat", read.get(1).path());
    assertArrayEquals(second, read.get(1).body());
  }

  @Property(tries = 300, seed = "2")
  void chunkedBodiesReadTheSameWhereverTheyAreSplit(
      @ForAll("bodies") byte[] body,
      @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 300) Integer> cuts) {
    var out = new java.io.ByteArrayOutputStream();
    out.writeBytes(
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
    int at = 0;
    for (int i = 0; at < body.length; i++) {
      int n = Math.min(body.length - at, cuts.get(i % cuts.size()));
      out.writeBytes((Integer.toHexString(n) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.write(body, at, n);
      out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
      at += n;
    }
    out.writeBytes("0\r\nTrailer: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    List<HttpRequest> read = readAll(out.toByteArray(), cuts);
    assertEquals(1, read.size());
    assertArrayEquals(body, read.get(0).body());
  }

  @Property(tries = 500, seed = "3")
  void neverThrowsOnGarbage(@ForAll byte[] garbage) {
    HttpParser parser = new HttpParser(Role.REQUESTS, MAX_BODY_BYTES);
    ByteBuffer in = ByteBuffer.wrap(garbage);
    Phase phase = parser.feed(in);
    assertTrue(
        phase == Phase.FAILED
            ? parser.failure() >= 400
            : !in.hasRemaining() || phase == Phase.COMPLETE);
  }

  private static int failureOf(String text) {
    HttpParser parser = new HttpParser(Role.REQUESTS, MAX_BODY_BYTES);
    parser.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    return parser.phase() == Phase.FAILED ? parser.failure() : 0;
  }

  @Example
  void refusesConflictingFraming() {
    assertEquals(
        400,
        failureOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"));
    assertEquals(
        400, failureOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"));
    assertEquals(400, failureOf("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n"));
  }

  @Example
  void enforcesSizeLimits() {
    assertEquals(413, failureOf("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"));
    assertEquals(0, failureOf("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"));
    assertEquals(431, failureOf("GET / HTTP/1.1\r\nX: " + "y".repeat(17_000)));
    assertEquals(413, failureOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"));
  }

  @Example
  void responseWithoutLengthEndsWithConnection() {
    HttpParser parser = new HttpParser(Role.RESPONSES, MAX_BODY_BYTES);
    parser.feed(ByteBuffer.wrap("HTTP/1.1 200 OK\r\n\r\nabc".getBytes(StandardCharsets.US_ASCII)));
    assertEquals(Phase.UNTIL_CLOSE, parser.phase());
    assertEquals(Phase.COMPLETE, parser.end());
    assertArrayEquals("abc".getBytes(StandardCharsets.US_ASCII), parser.response().body());
    assertTrue(parser.response().close());
  }
}
