package org.quincecross.http;

/**
 * An HTTP response.
 *
 * @param retryAfterS seconds for a {@code Retry-After} header, or 0 for none
 * @param close whether the connection is closed after it
 */
// Responses are never compared, and copying each body would add cost to every message.
@SuppressWarnings("ArrayRecordComponent")
public record HttpResponse(int status, byte[] body, int retryAfterS, boolean close) {
  private static final byte[] EMPTY = new byte[0];

  public static HttpResponse of(int status) {
    return new HttpResponse(status, EMPTY, 0, false);
  }

  public static HttpResponse of(int status, byte[] body) {
    return new HttpResponse(status, body, 0, false);
  }

  public HttpResponse withRetryAfter(int seconds) {
    return new HttpResponse(status, body, seconds, close);
  }

  public HttpResponse closing() {
    return new HttpResponse(status, body, retryAfterS, true);
  }

  public byte[] encode() {
    StringBuilder head = new StringBuilder(128);
    head.append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n");
    if (body.length > 0) {
      head.append("Content-Type: application/json\r\n");
    }
    head.append("Content-Length: ").append(body.length).append("\r\n");
    if (retryAfterS > 0) {
      head.append("Retry-After: ").append(retryAfterS).append("\r\n");
    }
    if (close) {
      head.append("Connection: close\r\n");
    }
    head.append("\r\n");
    return Bytes.join(head.toString(), body);
  }

  private static String reason(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 201 -> "Created";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 413 -> "Content Too Large";
      case 421 -> "Misdirected Request";
      case 422 -> "Unprocessable Content";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 500 -> "Internal Server Error";
      case 501 -> "Not Implemented";
      case 503 -> "Service Unavailable";
      default -> "Status";
    };
  }
}
