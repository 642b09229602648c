package org.quincecross.protocol;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of a JSON object, read with checks: errors name the field that is missing or has the
 * wrong type.
 */
public final class JsonFields {
  private static final int MAX_STRING_LENGTH = 4096;

  private final Map<?, ?> map;
  private final String context;

  private JsonFields(Map<?, ?> map, String where) {
    this.map = map;
    this.context = where;
  }

  /** Wraps a value that has to be an object; {@code context} names it in errors. */
  public static JsonFields of(Object value, String where) throws MalformedMessageException {
    if (value instanceof Map<?, ?> map) {
      return new JsonFields(map, where);
    }
    throw new MalformedMessageException(where + " is not an object");
  }

  /** The names of all fields. */
  public List<String> fieldNames() {
    return map.keySet().stream().map(String::valueOf).toList();
  }

  /**
   * The fields that are not among {@code known}. A record is rewritten with them, so that what a
   * newer build stored is kept. Null values count as absent.
   */
  public Map<String, Object> unknownFields(Collection<String> known) {
    Map<String, Object> others = null;
    for (Map.Entry<?, ?> field : map.entrySet()) {
      String name = String.valueOf(field.getKey());
      if (field.getValue() != null && !known.contains(name)) {
        others = others == null ? new LinkedHashMap<>() : others;
        others.put(name, field.getValue());
      }
    }
    return others == null ? Map.of() : others;
  }

  /** Whether a field is present and not null. */
  public boolean has(String name) {
    return map.get(name) != null;
  }

  /** The unchecked value of a field, or null. */
  public Object raw(String name) {
    return map.get(name);
  }

  private MalformedMessageException malformed(String name, String what) {
    return new MalformedMessageException("field " + name + " of " + context + " " + what);
  }

  /** Checks that these fields are present and not null. */
  public void requireAll(Collection<String> names) throws MalformedMessageException {
    for (String name : names) {
      requireAll(name);
    }
  }

  private Object requireAll(String name) throws MalformedMessageException {
    Object value = map.get(name);
    if (value == null) {
      throw malformed(name, "is missing");
    }
    return value;
  }

  /** A required string. */
  public String string(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof String text && text.length() <= MAX_STRING_LENGTH) {
      return text;
    }
    throw malformed(name, "is not a string of fair length");
  }

  /** A required string of any length, in a record whose size the store limits. */
  public String stringOfAnyLength(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof String text) {
      return text;
    }
    throw malformed(name, "is not a string");
  }

  /** A string, or a default if absent. */
  public String stringOr(String name, String otherwise) throws MalformedMessageException {
    return has(name) ? string(name) : otherwise;
  }

  /** A required boolean. */
  public boolean bool(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof Boolean flag) {
      return flag;
    }
    throw malformed(name, "is not true or false");
  }

  /** A boolean, or a default if absent. */
  public boolean boolOr(String name, boolean otherwise) throws MalformedMessageException {
    return has(name) ? bool(name) : otherwise;
  }

  /** A finite number that is not negative. */
  public double nonNegativeNumber(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof Number number) {
      double value = number.doubleValue();
      if (value >= 0 && value < 1e12) {
        return value;
      }
    }
    throw malformed(name, "is not a number of 0 or more");
  }

  /** A required finite number above zero. */
  public double positiveNumber(String name) throws MalformedMessageException {
    double value = nonNegativeNumber(name);
    if (value <= 0) {
      throw malformed(name, "is not above 0");
    }
    return value;
  }

  /** An unsigned 64-bit integer, as the bits of a long. */
  public long unsigned(String name) throws MalformedMessageException {
    Object value = requireAll(name);
    if (value instanceof Long number && number >= 0) {
      return number;
    }
    if (value instanceof BigInteger big && big.signum() >= 0 && big.bitLength() <= 64) {
      return big.longValue();
    }
    throw malformed(name, "is not an integer from 0 to 2^64 - 1");
  }

  /** A required integer within a range. */
  public int integer(String name, int least, int most) throws MalformedMessageException {
    if (requireAll(name) instanceof Long number && number >= least && number <= most) {
      return number.intValue();
    }
    throw malformed(name, "is not an integer from " + least + " to " + most);
  }

  /** A required list. */
  public List<?> list(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof List<?> list) {
      return list;
    }
    throw malformed(name, "is not a list");
  }

  /** A list, empty if absent. */
  public List<?> listOrEmpty(String name) throws MalformedMessageException {
    return has(name) ? list(name) : List.of();
  }

  /** A required list of strings. */
  public List<String> strings(String name) throws MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text) || text.length() > MAX_STRING_LENGTH) {
        throw malformed(name, "is not a list of strings");
      }
      texts.add(text);
    }
    return texts;
  }

  /** A required object. */
  public JsonFields fields(String name) throws MalformedMessageException {
    return of(requireAll(name), name + " of " + context);
  }

  /** A required list of objects. */
  public List<JsonFields> objects(String name) throws MalformedMessageException {
    List<JsonFields> objects = new ArrayList<>();
    for (Object item : list(name)) {
      objects.add(of(item, "an item of " + name + " of " + context));
    }
    return objects;
  }

  /** The constant that a word stands for. */
  public <T> T enumValue(String name, Map<String, T> words) throws MalformedMessageException {
    T value = words.get(string(name));
    if (value == null) {
      throw malformed(name, "is not one of " + words.keySet());
    }
    return value;
  }
}
