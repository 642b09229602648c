package org.quincecross.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Parses one direction of a connection incrementally. One message at a time: after {@link
 * Phase#COMPLETE} the caller takes the message and calls {@link #next()}; unread bytes stay in the
 * caller's buffer.
 */
public final class HttpParser {
  /** What is parsed: the requests of a client or the responses of a server. */
  public enum Role {
    REQUESTS,
    RESPONSES
  }

  /** The position of the parser in a message. */
  public enum Phase {
    START_LINE,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILERS,
    UNTIL_CLOSE,
    COMPLETE,
    FAILED
  }

  private static final int MAX_HEAD_BYTES = 16 * 1024;
  private static final String[] SUPPORTED_HEADERS = {
    "content-length", "connection", "transfer-encoding", "retry-after"
  };
  private static final byte[] NO_BYTES = new byte[0];

  private final Role role;
  private final int maxBodyBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);

  private Phase phase = Phase.START_LINE;
  private int headBytes;

  /** The body if it arrived in one piece; otherwise it is assembled in {@link #body}. */
  private byte[] singlePieceBody;

  private ByteArrayOutputStream body;
  private long remainingBytes;
  private String method;
  private String target;
  private int status;
  private boolean oldVersion;
  private boolean close;
  private boolean chunked;
  private long length;
  private int retryAfterS;
  private int failure;

  public HttpParser(Role role, int maxBodyBytes) {
    this.role = role;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** The only method that changes the phase. */
  private void setPhase(Phase next) {
    phase = next;
  }

  private Phase fail(int code) {
    failure = code;
    setPhase(Phase.FAILED);
    return phase;
  }

  public Phase phase() {
    return phase;
  }

  /** Whether a part of a message has arrived, but not all of it. */
  public boolean isMidMessage() {
    return phase != Phase.COMPLETE
        && phase != Phase.FAILED
        && (phase != Phase.START_LINE || headBytes > 0);
  }

  /** The status that tells the other side why its message was rejected. */
  public int failure() {
    return failure;
  }

  public HttpRequest request() {
    return new HttpRequest(method, target, bodyBytes(), close);
  }

  public HttpResponse response() {
    return new HttpResponse(status, bodyBytes(), retryAfterS, close);
  }

  private byte[] bodyBytes() {
    return singlePieceBody != null ? singlePieceBody : body == null ? NO_BYTES : body.toByteArray();
  }

  /** Prepares for the message after a complete one. */
  public void next() {
    setPhase(Phase.START_LINE);
    line.reset();
    headBytes = 0;
    body = null;
    singlePieceBody = null;
  }

  /**
   * Called at the end of the connection: a body delimited by it is complete, any other partial
   * message has failed.
   */
  public Phase end() {
    if (phase == Phase.UNTIL_CLOSE) {
      close = true;
      setPhase(Phase.COMPLETE);
    } else if (isMidMessage()) {
      fail(400);
    }
    return phase;
  }

  /** Parses until the buffer is empty or a message is complete. */
  public Phase feed(ByteBuffer in) {
    while (phase != Phase.COMPLETE && phase != Phase.FAILED && in.hasRemaining()) {
      switch (phase) {
        case START_LINE, HEADERS, CHUNK_SIZE, CHUNK_END, TRAILERS -> readLine(in);
        case BODY, CHUNK_DATA, UNTIL_CLOSE -> readBody(in);
        default -> throw new IllegalStateException(phase.toString());
      }
    }
    return phase;
  }

  private void readBody(ByteBuffer in) {
    int n =
        (int)
            Math.min(
                in.remaining(), phase == Phase.UNTIL_CLOSE ? Integer.MAX_VALUE : remainingBytes);
    if (bodySize() + (long) n > maxBodyBytes) {
      fail(413);
      return;
    }
    byte[] piece = new byte[n];
    in.get(piece);
    if (phase == Phase.BODY && body == null && n == remainingBytes) {
      singlePieceBody = piece;
    } else {
      body = body == null ? new ByteArrayOutputStream(Math.max(n, 512)) : body;
      body.write(piece, 0, n);
    }
    if (phase == Phase.UNTIL_CLOSE) {
      return;
    }
    remainingBytes -= n;
    if (remainingBytes == 0) {
      setPhase(phase == Phase.BODY ? Phase.COMPLETE : Phase.CHUNK_END);
    }
  }

  private int bodySize() {
    return body == null ? 0 : body.size();
  }

  private void readLine(ByteBuffer in) {
    int from = in.position();
    int at = from;
    int last = Math.min(in.limit(), from + MAX_HEAD_BYTES - headBytes);
    while (at < last && in.get(at) != '\n') {
      at++;
    }
    if (at >= last && last < in.limit()) {
      fail(431);
      return;
    }
    boolean ends = at < last;
    byte[] piece = new byte[at - from];
    in.get(piece);
    headBytes += piece.length;
    if (!ends) {
      line.write(piece, 0, piece.length);
      return;
    }
    in.get();
    headBytes++;
    byte[] bytes = piece;
    if (line.size() > 0) {
      line.write(piece, 0, piece.length);
      bytes = line.toByteArray();
      line.reset();
    }
    int end = bytes.length > 0 && bytes[bytes.length - 1] == '\r' ? bytes.length - 1 : bytes.length;
    takeLine(new String(bytes, 0, end, StandardCharsets.ISO_8859_1));
  }

  private void takeLine(String text) {
    switch (phase) {
      case START_LINE -> {
        if (text.isEmpty() && headBytes <= 4) {
          return; // tolerates an empty line between messages
        }
        startLine(text);
      }
      case HEADERS -> {
        if (text.isEmpty()) {
          headDone();
        } else {
          header(text);
        }
      }
      case CHUNK_SIZE -> chunkSize(text);
      case CHUNK_END -> {
        if (text.isEmpty()) {
          headBytes = 0;
          setPhase(Phase.CHUNK_SIZE);
        } else {
          fail(400);
        }
      }
      case TRAILERS -> {
        if (text.isEmpty()) {
          setPhase(Phase.COMPLETE);
        }
      }
      default -> throw new IllegalStateException(phase.toString());
    }
  }

  private void startLine(String text) {
    close = false;
    chunked = false;
    length = -1;
    retryAfterS = 0;
    String[] parts = text.split(" ", role == Role.REQUESTS ? -1 : 3);
    String version;
    if (role == Role.REQUESTS) {
      if (parts.length != 3 || !isToken(parts[0], parts[0].length()) || !parts[1].startsWith("/")) {
        fail(400);
        return;
      }
      method = parts[0];
      target = parts[1];
      version = parts[2];
    } else {
      if (parts.length < 2 || parts[1].length() != 3 || !isDigits(parts[1])) {
        fail(400);
        return;
      }
      status = Integer.parseInt(parts[1]);
      version = parts[0];
    }
    if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
      fail(400);
      return;
    }
    oldVersion = version.equals("HTTP/1.0");
    close = oldVersion;
    setPhase(Phase.HEADERS);
  }

  private void header(String text) {
    int colon = text.indexOf(':');
    if (colon < 1 || !isToken(text, colon)) {
      fail(400);
      return;
    }
    String name = supportedHeader(text, colon);
    if (name == null) {
      return; // other headers are not parsed
    }
    String value = text.substring(colon + 1).strip().toLowerCase(Locale.ROOT);
    switch (name) {
      case "content-length" -> {
        if (value.isEmpty()
            || value.length() > 12
            || !isDigits(value)
            || (length >= 0 && length != Long.parseLong(value))) {
          fail(400);
        } else {
          length = Long.parseLong(value);
        }
      }
      case "transfer-encoding" -> {
        if (value.equals("chunked") && !chunked) {
          chunked = true;
        } else {
          fail(400);
        }
      }
      case "connection" -> {
        if (value.contains("close")) {
          close = true;
        } else if (oldVersion && value.contains("keep-alive")) {
          close = false;
        }
      }
      case "retry-after" ->
          retryAfterS =
              value.length() < 6 && !value.isEmpty() && isDigits(value)
                  ? Integer.parseInt(value)
                  : 0;
      default -> throw new IllegalStateException(name);
    }
  }

  /** Returns the name of a supported header, or null. */
  private static String supportedHeader(String text, int length) {
    for (String name : SUPPORTED_HEADERS) {
      if (name.length() == length && text.regionMatches(true, 0, name, 0, length)) {
        return name;
      }
    }
    return null;
  }

  private void headDone() {
    if (chunked && length >= 0) {
      fail(400); // ambiguous framing: what one reader takes for a body another would take for a
      // request
    } else if (role == Role.RESPONSES && status < 200) {
      next();
    } else if (chunked) {
      headBytes = 0;
      setPhase(Phase.CHUNK_SIZE);
    } else if (length > maxBodyBytes) {
      fail(413);
    } else if (length > 0) {
      remainingBytes = length;
      setPhase(Phase.BODY);
    } else if (length == 0 || role == Role.REQUESTS || status == 204 || status == 304) {
      setPhase(Phase.COMPLETE);
    } else {
      setPhase(Phase.UNTIL_CLOSE);
    }
  }

  private void chunkSize(String text) {
    int semicolon = text.indexOf(';');
    String digits = (semicolon < 0 ? text : text.substring(0, semicolon)).strip();
    if (digits.isEmpty()
        || digits.length() > 7
        || !digits.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
      fail(400);
      return;
    }
    remainingBytes = Long.parseLong(digits, 16);
    if (bodySize() + remainingBytes > maxBodyBytes) {
      fail(413);
    } else {
      setPhase(remainingBytes == 0 ? Phase.TRAILERS : Phase.CHUNK_DATA);
    }
  }

  private static boolean isDigits(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return false;
      }
    }
    return true;
  }

  private static boolean isToken(String text, int length) {
    for (int i = 0; i < length; i++) {
      char c = text.charAt(i);
      if (c <= ' ' || c >= 127 || "()<>@,;:\\\"/[]?={}".indexOf(c) >= 0) {
        return false;
      }
    }
    return length > 0;
  }
}
