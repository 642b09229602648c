package org.quincecross.replicated;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the fields of a record or a command; errors name the missing or malformed field.
 */
public final class RecordFields {
  private static final int MOST_STRING = 2048;

  private final Map<?, ?> map;
  private final String where;

  private RecordFields(Map<?, ?> map, String where) {
    this.map = map;
    this.where = where;
  }

  /**
   * Wraps a value that has to be an object.
   *
   * @param where what the value is, for error messages
   */
  public static RecordFields of(Object value, String where) throws MalformedRecordException {
    if (value instanceof Map<?, ?> map) {
      return new RecordFields(map, where);
    }
    throw new MalformedRecordException(where + " is not an object");
  }

  /**
   * Rejects fields that are not in {@code known}; a misspelt field would otherwise be ignored
   * silently.
   */
  public RecordFields only(Collection<String> known) throws MalformedRecordException {
    for (Object name : map.keySet()) {
      if (!known.contains(String.valueOf(name))) {
        throw new MalformedRecordException("unknown field " + name + " of " + where);
      }
    }
    return this;
  }

  public boolean has(String name) {
    return map.get(name) != null;
  }

  /** Returns the unchecked value, or null if there is none. */
  public Object raw(String name) {
    return map.get(name);
  }

  private MalformedRecordException bad(String name, String what) {
    return new MalformedRecordException("field " + name + " of " + where + " " + what);
  }

  private Object need(String name) throws MalformedRecordException {
    Object value = map.get(name);
    if (value == null) {
      throw bad(name, "is missing");
    }
    return value;
  }

  public String text(String name) throws MalformedRecordException {
    if (need(name) instanceof String text && text.length() <= MOST_STRING) {
      return text;
    }
    throw bad(name, "is not a string of at most " + MOST_STRING + " characters");
  }

  public String textOr(String name, String otherwise) throws MalformedRecordException {
    return has(name) ? text(name) : otherwise;
  }

  public boolean flagOr(String name, boolean otherwise) throws MalformedRecordException {
    if (!has(name)) {
      return otherwise;
    }
    if (need(name) instanceof Boolean flag) {
      return flag;
    }
    throw bad(name, "is not true or false");
  }

  /** Returns an integer from {@code least} to {@code most}. */
  public long integer(String name, long least, long most) throws MalformedRecordException {
    Object value = need(name);
    if ((value instanceof Long || value instanceof Integer)
        && ((Number) value).longValue() >= least
        && ((Number) value).longValue() <= most) {
      return ((Number) value).longValue();
    }
    throw bad(name, "is not an integer from " + least + " to " + most);
  }

  public long integerOr(String name, long least, long most, long otherwise)
      throws MalformedRecordException {
    return has(name) ? integer(name, least, most) : otherwise;
  }

  /** Returns a finite number from {@code least} to {@code most}. */
  public double amount(String name, double least, double most) throws MalformedRecordException {
    if (need(name) instanceof Number number
        && number.doubleValue() >= least
        && number.doubleValue() <= most) {
      return number.doubleValue();
    }
    throw bad(name, "is not a number from " + least + " to " + most);
  }

  /** Returns the constant of {@code words} named by the field, in lower or upper case. */
  public <E extends Enum<E>> E word(String name, Class<E> words) throws MalformedRecordException {
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

  public List<String> texts(String name) throws MalformedRecordException {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text) || text.length() > MOST_STRING) {
        throw bad(name, "is not a list of strings");
      }
      texts.add(text);
    }
    return texts;
  }

  /** Returns a list; empty if the field is missing. */
  public List<?> list(String name) throws MalformedRecordException {
    if (!has(name)) {
      return List.of();
    }
    if (need(name) instanceof List<?> list) {
      return list;
    }
    throw bad(name, "is not a list");
  }

  /** Returns a list of objects; empty if the field is missing. */
  public List<RecordFields> bodies(String name) throws MalformedRecordException {
    List<RecordFields> bodies = new ArrayList<>();
    for (Object item : list(name)) {
      bodies.add(of(item, "an item of " + name + " of " + where));
    }
    return bodies;
  }

  public RecordFields body(String name) throws MalformedRecordException {
    return of(need(name), name + " of " + where);
  }

  /** Returns all fields unchecked. */
  public Map<String, Object> all() {
    Map<String, Object> all = new LinkedHashMap<>();
    map.forEach((name, value) -> all.put(String.valueOf(name), value));
    return all;
  }
}
