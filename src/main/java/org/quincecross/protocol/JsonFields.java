package org.quincecross.protocol;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of a JSON object, taken with checks: what is missing or of the wrong kind is named.
 */
public final class JsonFields {
  private static final int MOST_STRING = 4096;

  private final Map<?, ?> map;
  private final String where;

  private JsonFields(Map<?, ?> map, String where) {
    this.map = map;
    this.where = where;
  }

  public static JsonFields of(Object value, String where) throws MalformedMessageException {
    if (value instanceof Map<?, ?> map) {
      return new JsonFields(map, where);
    }
    throw new MalformedMessageException(where + " is not an object");
  }

  /** The names of the fields. */
  public List<String> fieldNames() {
    return map.keySet().stream().map(String::valueOf).toList();
  }

  /**
   * The fields that are not among {@code known}, as they are: whoever writes a record anew keeps
   * what a newer build has put there. Null values count as left out.
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

  public boolean has(String name) {
    return map.get(name) != null;
  }

  public Object raw(String name) {
    return map.get(name);
  }

  private MalformedMessageException bad(String name, String what) {
    return new MalformedMessageException("field " + name + " of " + where + " " + what);
  }

  /** Checks that some fields are there and not null. */
  public void requireAll(Collection<String> names) throws MalformedMessageException {
    for (String name : names) {
      requireAll(name);
    }
  }

  private Object requireAll(String name) throws MalformedMessageException {
    Object value = map.get(name);
    if (value == null) {
      throw bad(name, "is missing");
    }
    return value;
  }

  public String string(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof String text && text.length() <= MOST_STRING) {
      return text;
    }
    throw bad(name, "is not a string of fair length");
  }

  public String stringOr(String name, String otherwise) throws MalformedMessageException {
    return has(name) ? string(name) : otherwise;
  }

  public boolean bool(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof Boolean flag) {
      return flag;
    }
    throw bad(name, "is not true or false");
  }

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
    throw bad(name, "is not a number of 0 or more");
  }

  public double positiveNumber(String name) throws MalformedMessageException {
    double value = nonNegativeNumber(name);
    if (value <= 0) {
      throw bad(name, "is not above 0");
    }
    return value;
  }

  /** An integer below 2^64, as the bits of a long. */
  public long unsigned(String name) throws MalformedMessageException {
    Object value = requireAll(name);
    if (value instanceof Long number && number >= 0) {
      return number;
    }
    if (value instanceof BigInteger big && big.signum() >= 0 && big.bitLength() <= 64) {
      return big.longValue();
    }
    throw bad(name, "is not an integer from 0 to 2^64 - 1");
  }

  public int integer(String name, int least, int most) throws MalformedMessageException {
    if (requireAll(name) instanceof Long number && number >= least && number <= most) {
      return number.intValue();
    }
    throw bad(name, "is not an integer from " + least + " to " + most);
  }

  public List<?> list(String name) throws MalformedMessageException {
    if (requireAll(name) instanceof List<?> list) {
      return list;
    }
    throw bad(name, "is not a list");
  }

  public List<?> listOrEmpty(String name) throws MalformedMessageException {
    return has(name) ? list(name) : List.of();
  }

  public List<String> strings(String name) throws MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text) || text.length() > MOST_STRING) {
        throw bad(name, "is not a list of strings");
      }
      texts.add(text);
    }
    return texts;
  }

  public JsonFields fields(String name) throws MalformedMessageException {
    return of(requireAll(name), name + " of " + where);
  }

  public List<JsonFields> objects(String name) throws MalformedMessageException {
    List<JsonFields> objects = new ArrayList<>();
    for (Object item : list(name)) {
      objects.add(of(item, "an item of " + name + " of " + where));
    }
    return objects;
  }

  /** One of a set of words. */
  public <T> T enumValue(String name, Map<String, T> words) throws MalformedMessageException {
    T value = words.get(string(name));
    if (value == null) {
      throw bad(name, "is not one of " + words.keySet());
    }
    return value;
  }
}
