package org.quincecross.wire;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of a JSON object, taken with checks: what is missing or of the wrong kind is named.
 */
public final class Fields {
  private static final int MOST_STRING = 4096;

  private final Map<?, ?> map;
  private final String where;

  private Fields(Map<?, ?> map, String where) {
    this.map = map;
    this.where = where;
  }

  public static Fields of(Object value, String where) throws BadMessage {
    if (value instanceof Map<?, ?> map) {
      return new Fields(map, where);
    }
    throw new BadMessage(where + " is not an object");
  }

  /** The names of the fields. */
  public List<String> names() {
    return map.keySet().stream().map(String::valueOf).toList();
  }

  /**
   * The fields that are not among {@code known}, as they are: whoever writes a record anew keeps
   * what a newer build has put there. Null values count as left out.
   */
  public Map<String, Object> others(Collection<String> known) {
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

  private BadMessage bad(String name, String what) {
    return new BadMessage("field " + name + " of " + where + " " + what);
  }

  /** Checks that some fields are there and not null. */
  public void need(Collection<String> names) throws BadMessage {
    for (String name : names) {
      need(name);
    }
  }

  private Object need(String name) throws BadMessage {
    Object value = map.get(name);
    if (value == null) {
      throw bad(name, "is missing");
    }
    return value;
  }

  public String text(String name) throws BadMessage {
    if (need(name) instanceof String text && text.length() <= MOST_STRING) {
      return text;
    }
    throw bad(name, "is not a string of fair length");
  }

  public String textOr(String name, String otherwise) throws BadMessage {
    return has(name) ? text(name) : otherwise;
  }

  public boolean flag(String name) throws BadMessage {
    if (need(name) instanceof Boolean flag) {
      return flag;
    }
    throw bad(name, "is not true or false");
  }

  public boolean flagOr(String name, boolean otherwise) throws BadMessage {
    return has(name) ? flag(name) : otherwise;
  }

  /** A finite number that is not negative. */
  public double amount(String name) throws BadMessage {
    if (need(name) instanceof Number number) {
      double value = number.doubleValue();
      if (value >= 0 && value < 1e12) {
        return value;
      }
    }
    throw bad(name, "is not a number of 0 or more");
  }

  public double positive(String name) throws BadMessage {
    double value = amount(name);
    if (value <= 0) {
      throw bad(name, "is not above 0");
    }
    return value;
  }

  /** An integer below 2^64, as the bits of a long. */
  public long unsigned(String name) throws BadMessage {
    Object value = need(name);
    if (value instanceof Long number && number >= 0) {
      return number;
    }
    if (value instanceof BigInteger big && big.signum() >= 0 && big.bitLength() <= 64) {
      return big.longValue();
    }
    throw bad(name, "is not an integer from 0 to 2^64 - 1");
  }

  public int count(String name, int least, int most) throws BadMessage {
    if (need(name) instanceof Long number && number >= least && number <= most) {
      return number.intValue();
    }
    throw bad(name, "is not an integer from " + least + " to " + most);
  }

  public List<?> list(String name) throws BadMessage {
    if (need(name) instanceof List<?> list) {
      return list;
    }
    throw bad(name, "is not a list");
  }

  public List<?> listOrEmpty(String name) throws BadMessage {
    return has(name) ? list(name) : List.of();
  }

  public List<String> texts(String name) throws BadMessage {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text) || text.length() > MOST_STRING) {
        throw bad(name, "is not a list of strings");
      }
      texts.add(text);
    }
    return texts;
  }

  public Fields fields(String name) throws BadMessage {
    return of(need(name), name + " of " + where);
  }

  public List<Fields> objects(String name) throws BadMessage {
    List<Fields> objects = new ArrayList<>();
    for (Object item : list(name)) {
      objects.add(of(item, "an item of " + name + " of " + where));
    }
    return objects;
  }

  /** One of a set of words. */
  public <T> T word(String name, Map<String, T> words) throws BadMessage {
    T value = words.get(text(name));
    if (value == null) {
      throw bad(name, "is not one of " + words.keySet());
    }
    return value;
  }
}
