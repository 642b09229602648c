package org.quincecross.replicated;

/**
 * Identifies a record: its kind, and its name within the kind. A name has 1 to 100 characters of
 * a-z, A-Z, 0-9, '.', '_' and '-', and begins with a letter or digit.
 */
public record RecordId(String kind, String id) implements Comparable<RecordId> {
  private static final int MAX_NAME_LENGTH = 100;

  /** Whether a record may have this name. */
  public static boolean isName(String id) {
    if (id.isEmpty() || id.length() > MAX_NAME_LENGTH || !isLetterOrDigit(id.charAt(0))) {
      return false;
    }
    for (int i = 1; i < id.length(); i++) {
      char c = id.charAt(i);
      if (!isLetterOrDigit(c) && c != '.' && c != '_' && c != '-') {
        return false;
      }
    }
    return true;
  }

  private static boolean isLetterOrDigit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  }

  @Override
  public int compareTo(RecordId other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : id.compareTo(other.id);
  }

  @Override
  public String toString() {
    return kind + "/" + id;
  }
}
