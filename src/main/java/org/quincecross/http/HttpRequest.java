package org.quincecross.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP request.
 *
 * @param target the path and query as in the request line
 * @param close whether the sender wants the connection closed after the response
 */
// Requests are never compared, and copying each body would add cost to every message.
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequest(String method, String target, byte[] body, boolean close) {
  private static final byte[] EMPTY = new byte[0];

  public static HttpRequest get(String target) {
    return new HttpRequest("GET", target, EMPTY, false);
  }

  public static HttpRequest delete(String target) {
    return new HttpRequest("DELETE", target, EMPTY, false);
  }

  public static HttpRequest post(String target, byte[] body) {
    return new HttpRequest("POST", target, body, false);
  }

  public String path() {
    int mark = target.indexOf('?');
    return mark < 0 ? target : target.substring(0, mark);
  }

  /** Returns the value of a query parameter, or null. */
  public String query(String name) {
    int mark = target.indexOf('?');
    if (mark < 0) {
      return null;
    }
    for (String pair : target.substring(mark + 1).split("&")) {
      int equals = pair.indexOf('=');
      if (equals >= 0 && pair.substring(0, equals).equals(name)) {
        try {
          return URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
          return null;
        }
      }
    }
    return null;
  }

  /** Returns the encoded request to {@code host}. */
  public byte[] encode(String host) {
    StringBuilder head = new StringBuilder(128);
    head.append(method)
        .append(' ')
        .append(target)
        .append(" HTTP/1.1\r\nHost: ")
        .append(host)
        .append("\r\n");
    if (body.length > 0 || method.equals("POST") || method.equals("PUT")) {
      head.append("Content-Type: application/json\r\nContent-Length: ")
          .append(body.length)
          .append("\r\n");
    }
    head.append("\r\n");
    return Bytes.join(head.toString(), body);
  }
}
