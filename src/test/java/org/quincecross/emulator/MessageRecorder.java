package org.quincecross.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Records the messages on a simulated network: the names of all fields with the types and the
 * constant values (the vocabulary), an example of each shape of a message, and a digest of all
 * bytes.
 */
final class MessageRecorder implements MessageObserver {
  private static final int EXAMPLES_PER_CHANNEL = 24;
  private static final int MAX_EXAMPLE_BYTES = 6000;
  private static final int MAX_WORD_LENGTH = 24;

  private final TreeSet<String> vocabulary = new TreeSet<>();
  private final Map<String, Map<String, String>> examples = new TreeMap<>();
  private final MessageDigest digest = sha256();
  private long messages;

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JVM has SHA-256", e);
    }
  }

  /** One line for each channel, path and type or value. */
  SortedSet<String> vocabulary() {
    return vocabulary;
  }

  /** Lines of channel and message, separated by a tab; JSON as text, frames in base 64. */
  List<String> examples() {
    List<String> lines = new ArrayList<>();
    examples.forEach(
        (channel, shapes) -> shapes.values().forEach(each -> lines.add(channel + "\t" + each)));
    return lines;
  }

  /** The digest of all bytes so far, and the number of messages. */
  String digest() {
    try {
      MessageDigest soFar = (MessageDigest) digest.clone();
      return messages + " messages " + HexFormat.of().formatHex(soFar.digest());
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException("SHA-256 digests can be cloned", e);
    }
  }

  @Override
  public void request(String from, String to, HttpRequest request) {
    digest(from + " " + to + " " + request.method() + " " + request.target(), request.body());
    record(host(to) + " " + request.method() + " " + path(request), request.body());
    vocabulary.add(host(to) + " " + request.method() + " " + path(request) + queryNames(request));
  }

  @Override
  public void response(String from, String to, HttpRequest request, HttpResponse response) {
    answered(host(to), request, response);
  }

  /** Records an answer that did not cross the network. */
  void answered(String host, HttpRequest request, HttpResponse response) {
    digest(response.status() + " ", response.body());
    record(
        host + " " + request.method() + " " + path(request) + " answers " + response.status(),
        response.body());
  }

  @Override
  public void frame(byte[] frame) {
    digest("frame", frame);
    TreeSet<String> shape = new TreeSet<>();
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
      int place = 0;
      while (in.hasNext()) {
        frameShape("frame[" + place++ + "]", in.unpackValue(), shape);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    vocabulary.addAll(shape);
    example("frame", shape, Base64.getEncoder().encodeToString(frame));
  }

  /** Records a stored record, by the part of its key that names its kind. */
  void stored(String key, Object value) {
    TreeSet<String> shape = new TreeSet<>();
    jsonShape("record " + kind(key), "$", value, shape);
    vocabulary.addAll(shape);
    example(
        "record " + kind(key),
        shape,
        key + "\t" + new String(Json.write(value), StandardCharsets.UTF_8));
  }

  private void record(String channel, byte[] body) {
    TreeSet<String> shape = new TreeSet<>();
    if (body.length == 0) {
      shape.add(channel + " empty");
    } else {
      Object value = parse(body);
      if (channel.startsWith("state POST /txn")
          && value instanceof Map<?, ?> txn
          && txn.get("Apply") instanceof List<?> changes) {
        for (Object change : changes) {
          if (change instanceof Map<?, ?> put && put.get("Set") instanceof String key) {
            stored(key, put.get("Value"));
          }
        }
      }
      jsonShape(channel, "$", value, shape);
    }
    vocabulary.addAll(shape);
    example(channel, shape, new String(body, StandardCharsets.UTF_8));
  }

  private static Object parse(byte[] body) {
    try {
      return Json.parse(body);
    } catch (MalformedMessageException e) {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private void example(String channel, Set<String> shape, String message) {
    Map<String, String> shapes = examples.computeIfAbsent(channel, each -> new TreeMap<>());
    if (message.length() <= MAX_EXAMPLE_BYTES && shapes.size() < EXAMPLES_PER_CHANNEL) {
      shapes.putIfAbsent(String.join("\n", shape), message);
    }
  }

  private void digest(String header, byte[] body) {
    messages++;
    digest.update(header.getBytes(StandardCharsets.UTF_8));
    digest.update(body);
  }

  private static String host(String name) {
    return name.matches("n[0-9]+") ? "controller" : name.matches("state|cloud") ? name : "machine";
  }

  private static String path(HttpRequest request) {
    return withoutNumbers(request.path())
        .replaceAll(
            "(/keys/|/agreed/gate/|/agreed/holds/|/agreed/requests/|/agreed/models/|/admin/models/)[^/]+",
            "$1…");
  }

  private static String queryNames(HttpRequest request) {
    int mark = request.target().indexOf('?');
    return mark < 0 ? "" : " ? " + request.target().substring(mark + 1).replaceAll("=[^&]*", "");
  }

  private static String kind(String key) {
    String[] parts = key.split("/");
    return parts.length < 3
        ? key
        : parts[0]
            + "/"
            + parts[1]
            + "/"
            + (parts[1].equals("agreed") ? parts[2] + "/" : "")
            + (key.contains("~") ? "~" : "");
  }

  private static String withoutNumbers(String text) {
    return text.replaceAll("[0-9]+", "N");
  }

  private void jsonShape(String channel, String path, Object value, Set<String> shape) {
    if (value instanceof Map<?, ?> map) {
      shape.add(channel + " " + path + " object");
      map.forEach(
          (name, each) ->
              jsonShape(
                  channel,
                  path + "." + withoutNumbers(name.toString()),
                  path.endsWith(".Apply[]") && name.equals("Value") ? "a record" : each,
                  shape));
    } else if (value instanceof List<?> list) {
      shape.add(channel + " " + path + " list");
      list.forEach(each -> jsonShape(channel, path + "[]", each, shape));
    } else if (value instanceof String text) {
      shape.add(
          channel
              + " "
              + path
              + " string"
              + (text.matches("[A-Za-z_-]{1," + MAX_WORD_LENGTH + "}") ? " " + text : ""));
    } else {
      shape.add(
          channel + " " + path + " " + (value == null ? "null" : value.getClass().getSimpleName()));
    }
  }

  private void frameShape(String path, Value value, Set<String> shape) {
    if (value.isArrayValue()) {
      shape.add(path + " array");
      value.asArrayValue().forEach(each -> frameShape(path + "[]", each, shape));
    } else if (value.isMapValue()) {
      shape.add(path + " map");
      value.asMapValue().map().values().forEach(each -> frameShape(path + "{}", each, shape));
    } else {
      shape.add(path + " " + value.getValueType());
    }
  }
}
