package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("more than one JSON value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> parseObject(String text) {
    if (parse(text) instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new IllegalArgumentException("not an object");
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  static long number(Object value) {
    return ((Number) value).longValue();
  }

  static Map<String, Object> object(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  private void space() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    space();
    if (at >= text.length()) {
      throw new IllegalArgumentException("no JSON");
    }
    char c = text.charAt(at);
    if (c == '{') {
      at++;
      Map<String, Object> map = new LinkedHashMap<>();
      space();
      if (text.charAt(at) == '}') {
        at++;
        return map;
      }
      while (true) {
        space();
        String name = string();
        space();
        expect(':');
        map.put(name, value());
        space();
        if (text.charAt(at) == ',') {
          at++;
        } else {
          expect('}');
          return map;
        }
      }
    }
    if (c == '[') {
      at++;
      List<Object> list = new ArrayList<>();
      space();
      if (text.charAt(at) == ']') {
        at++;
        return list;
      }
      while (true) {
        list.add(value());
        space();
        if (text.charAt(at) == ',') {
          at++;
        } else {
          expect(']');
          return list;
        }
      }
    }
    if (c == '"') {
      return string();
    }
    if (text.startsWith("true", at)) {
      at += 4;
      return true;
    }
    if (text.startsWith("false", at)) {
      at += 5;
      return false;
    }
    if (text.startsWith("null", at)) {
      at += 4;
      return null;
    }
    int from = at;
    while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String number = text.substring(from, at);
    return number.matches("-?[0-9]+") ? (Object) Long.parseLong(number) : (Object) Double.parseDouble(number);
  }

  private void expect(char c) {
    if (at >= text.length() || text.charAt(at) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char e = text.charAt(at++);
      switch (e) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(e);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String comma = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(comma);
        write(out, entry.getKey().toString());
        out.append(':');
        write(out, entry.getValue());
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof Iterable<?> list) {
      out.append('[');
      String comma = "";
      for (Object item : list) {
        out.append(comma);
        write(out, item);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (int i = 0; i < string.length(); i++) {
        char c = string.charAt(i);
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
