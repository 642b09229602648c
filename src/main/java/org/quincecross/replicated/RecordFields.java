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
  private static final int MAX_STRING_LENGTH = 2048;

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
  public RecordFields allowOnly(Collection<String> known) throws MalformedRecordException {
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

  private MalformedRecordException malformed(String name, String fault) {
    return new MalformedRecordException("field " + name + " of " + where + " " + fault);
  }

  private Object required(String name) throws MalformedRecordException {
    Object value = map.get(name);
    if (value == null) {
      throw malformed(name, "is missing");
    }
    return value;
  }

  public String text(String name) throws MalformedRecordException {
    if (required(name) instanceof String text && text.length() <= MAX_STRING_LENGTH) {
      return text;
    }
    throw malformed(name, "is not a string of at most " + MAX_STRING_LENGTH + " characters");
  }

  public String textOr(String name, String defaultValue) throws MalformedRecordException {
    return has(name) ? text(name) : defaultValue;
  }

  public boolean flagOr(String name, boolean defaultValue) throws MalformedRecordException {
    if (!has(name)) {
      return defaultValue;
    }
    if (required(name) instanceof Boolean flag) {
      return flag;
    }
    throw malformed(name, "is not true or false");
  }

  /** Returns an integer from {@code min} to {@code max}. */
  public long integer(String name, long min, long max) throws MalformedRecordException {
    Object value = required(name);
    if ((value instanceof Long || value instanceof Integer)
        && ((Number) value).longValue() >= min
        && ((Number) value).longValue() <= max) {
      return ((Number) value).longValue();
    }
    throw malformed(name, "is not an integer from " + min + " to " + max);
  }

  public long integerOr(String name, long min, long max, long defaultValue)
      throws MalformedRecordException {
    return has(name) ? integer(name, min, max) : defaultValue;
  }

  /** Returns a finite number from {@code min} to {@code max}. */
  public double amount(String name, double min, double max) throws MalformedRecordException {
    if (required(name) instanceof Number number
        && number.doubleValue() >= min
        && number.doubleValue() <= max) {
      return number.doubleValue();
    }
    throw malformed(name, "is not a number from " + min + " to " + max);
  }

  /** Returns the constant of {@code type} named by the field, in lower or upper case. */
  public <E extends Enum<E>> E enumConstant(String name, Class<E> type)
      throws MalformedRecordException {
    String text = text(name);
    List<String> known = new ArrayList<>();
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equalsIgnoreCase(text)) {
        return constant;
      }
      known.add(constant.name().toLowerCase(java.util.Locale.ROOT));
    }
    throw malformed(name, "is not one of " + known);
  }

  public List<String> texts(String name) throws MalformedRecordException {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text) || text.length() > MAX_STRING_LENGTH) {
        throw malformed(name, "is not a list of strings");
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
    if (required(name) instanceof List<?> list) {
      return list;
    }
    throw malformed(name, "is not a list");
  }

  /** Returns a list of objects; empty if the field is missing. */
  public List<RecordFields> objects(String name) throws MalformedRecordException {
    List<RecordFields> objects = new ArrayList<>();
    for (Object item : list(name)) {
      objects.add(of(item, "an item of " + name + " of " + where));
    }
    return objects;
  }

  public RecordFields object(String name) throws MalformedRecordException {
    return of(required(name), name + " of " + where);
  }

  /** Returns all fields unchecked. */
  public Map<String, Object> all() {
    Map<String, Object> all = new LinkedHashMap<>();
    map.forEach((name, value) -> all.put(String.valueOf(name), value));
    return all;
  }
}
