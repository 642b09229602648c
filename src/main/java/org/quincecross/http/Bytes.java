package org.quincecross.http;

import java.nio.charset.StandardCharsets;

/** Byte array helpers. */
final class Bytes {
  private Bytes() {}

  static byte[] join(String head, byte[] body) {
    byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[first.length + body.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(body, 0, all, first.length, body.length);
    return all;
  }
}
