package org.quincecross.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts JSON text to and from maps, lists, strings, numbers and booleans. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int MAX_DEPTH = 64;

  private Json() {}

  /** Parses a single value that fills all of {@code bytes}. */
  public static Object parse(byte[] bytes) throws MalformedMessageException {
    try (JsonParser in = FACTORY.createParser(bytes)) {
      if (in.nextToken() == null) {
        throw new MalformedMessageException("no JSON");
      }
      Object value = value(in, 0);
      if (in.nextToken() != null) {
        throw new MalformedMessageException("more than one JSON value");
      }
      return value;
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  /** Parses a single object that fills all of {@code bytes}. */
  public static JsonFields parseFields(byte[] bytes) throws MalformedMessageException {
    return JsonFields.of(parse(bytes), "the message");
  }

  private static Object value(JsonParser in, int depth)
      throws IOException, MalformedMessageException {
    if (depth > MAX_DEPTH) {
      throw new MalformedMessageException("JSON nested too deeply");
    }
    JsonToken token = in.currentToken();
    switch (token) {
      case START_OBJECT -> {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
          String name = in.currentName();
          in.nextToken();
          map.put(name, value(in, depth + 1));
        }
        return map;
      }
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          list.add(value(in, depth + 1));
        }
        return list;
      }
      case VALUE_STRING -> {
        return in.getText();
      }
      case VALUE_NUMBER_INT -> {
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? (Object) in.getBigIntegerValue()
            : (Object) in.getLongValue();
      }
      case VALUE_NUMBER_FLOAT -> {
        return in.getDoubleValue();
      }
      case VALUE_TRUE -> {
        return true;
      }
      case VALUE_FALSE -> {
        return false;
      }
      case VALUE_NULL -> {
        return null;
      }
      default -> throw new MalformedMessageException("not JSON");
    }
  }

  /** Writes a value as JSON. */
  public static byte[] write(Object value) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      write(out, value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator out, Object value) throws IOException {
    if (value == null) {
      out.writeNull();
    } else if (value instanceof Map<?, ?> map) {
      out.writeStartObject();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.writeFieldName((String) entry.getKey());
        write(out, entry.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof Iterable<?> list) {
      out.writeStartArray();
      for (Object item : list) {
        write(out, item);
      }
      out.writeEndArray();
    } else if (value instanceof Long || value instanceof Integer) {
      out.writeNumber(((Number) value).longValue());
    } else if (value instanceof BigInteger big) {
      out.writeNumber(big);
    } else if (value instanceof Double number) {
      out.writeNumber(number);
    } else if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else {
      out.writeString(value.toString());
    }
  }

  /** The JSON form of an unsigned 64-bit integer. */
  static Object unsigned(long number) {
    return number >= 0 ? (Object) number : new BigInteger(Long.toUnsignedString(number));
  }

  /** A map that keeps the order of the given names and values. */
  public static Map<String, Object> object(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }
}
