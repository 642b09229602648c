package org.quincecross.agreed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of a record or a command, taken with checks: what is missing or of the wrong kind is
 * named.
 */
public final class Body {
  private static final int MOST_STRING = 2048;

  private final Map<?, ?> map;
  private final String where;

  private Body(Map<?, ?> map, String where) {
    this.map = map;
    this.where = where;
  }

  /**
   * Wraps a value that has to be an object.
   *
   * @param where what it is, for the messages
   */
  public static Body of(Object value, String where) throws Unreadable {
    if (value instanceof Map<?, ?> map) {
      return new Body(map, where);
    }
    throw new Unreadable(where + " is not an object");
  }

  /**
   * Refuses names that are not among {@code known}: a misspelt one would be left out without
   * anybody noticing.
   */
  public Body only(Collection<String> known) throws Unreadable {
    for (Object name : map.keySet()) {
      if (!known.contains(String.valueOf(name))) {
        throw new Unreadable("unknown field " + name + " of " + where);
      }
    }
    return this;
  }

  public boolean has(String name) {
    return map.get(name) != null;
  }

  /** The value as it is; null where there is none. */
  public Object raw(String name) {
    return map.get(name);
  }

  private Unreadable bad(String name, String what) {
    return new Unreadable("field " + name + " of " + where + " " + what);
  }

  private Object need(String name) throws Unreadable {
    Object value = map.get(name);
    if (value == null) {
      throw bad(name, "is missing");
    }
    return value;
  }

  public String text(String name) throws Unreadable {
    if (need(name) instanceof String text && text.length() <= MOST_STRING) {
      return text;
    }
    throw bad(name, "is not a string of at most " + MOST_STRING + " characters");
  }

  public String textOr(String name, String otherwise) throws Unreadable {
    return has(name) ? text(name) : otherwise;
  }

  public boolean flagOr(String name, boolean otherwise) throws Unreadable {
    if (!has(name)) {
      return otherwise;
    }
    if (need(name) instanceof Boolean flag) {
      return flag;
    }
    throw bad(name, "is not true or false");
  }

  /** An integer from {@code least} to {@code most}. */
  public long integer(String name, long least, long most) throws Unreadable {
    Object value = need(name);
    if ((value instanceof Long || value instanceof Integer)
        && ((Number) value).longValue() >= least
        && ((Number) value).longValue() <= most) {
      return ((Number) value).longValue();
    }
    throw bad(name, "is not an integer from " + least + " to " + most);
  }

  public long integerOr(String name, long least, long most, long otherwise) throws Unreadable {
    return has(name) ? integer(name, least, most) : otherwise;
  }

  /** A finite number from {@code least} to {@code most}. */
  public double amount(String name, double least, double most) throws Unreadable {
    if (need(name) instanceof Number number
        && number.doubleValue() >= least
        && number.doubleValue() <= most) {
      return number.doubleValue();
    }
    throw bad(name, "is not a number from " + least + " to " + most);
  }

  /** One of the constants of {@code words}, in lower or upper case. */
  public <E extends Enum<E>> E word(String name, Class<E> words) throws Unreadable {
    String text = text(name);
    List<String> known = new ArrayList<>();
    for (E word : words.getEnumConstants()) {
      if (word.name().equalsIgnoreCase(text)) {
        return word;
      }
      known.add(word.name().toLowerCase(java.util.Locale.ROOT));
    }
    throw bad(name, "is not one of " + known);
  }

  public List<String> texts(String name) throws Unreadable {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text) || text.length() > MOST_STRING) {
        throw bad(name, "is not a list of strings");
      }
      texts.add(text);
    }
    return texts;
  }

  /** Empty where there is none. */
  public List<?> list(String name) throws Unreadable {
    if (!has(name)) {
      return List.of();
    }
    if (need(name) instanceof List<?> list) {
      return list;
    }
    throw bad(name, "is not a list");
  }

  /** Empty where there is none. */
  public List<Body> bodies(String name) throws Unreadable {
    List<Body> bodies = new ArrayList<>();
    for (Object item : list(name)) {
      bodies.add(of(item, "an item of " + name + " of " + where));
    }
    return bodies;
  }

  public Body body(String name) throws Unreadable {
    return of(need(name), name + " of " + where);
  }

  /** All fields as they are. */
  public Map<String, Object> all() {
    Map<String, Object> all = new LinkedHashMap<>();
    map.forEach((name, value) -> all.put(String.valueOf(name), value));
    return all;
  }
}
