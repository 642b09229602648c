package org.quincecross.model;

/**
 * The id that a user gives a job: {@code job-} followed by one to twenty digits. A class rather
 * than a record, because ids are compared constantly and comparing numbers is cheaper than
 * comparing texts.
 */
public final class JobId implements Comparable<JobId> {
  private static final String PREFIX = "job-";
  private static final int MAX_DIGITS = 20;

  /** The number of digits that always fit into a long. */
  private static final int DIGITS_IN_NUMBER = 18;

  private final String text;

  /** The first digits, up to {@link #DIGITS_IN_NUMBER}. */
  private final long number;

  private final int hash;

  /** Creates an id from text that {@link #parse} accepts. */
  public JobId(String text) {
    this.text = text;
    long value = 0;
    for (int i = PREFIX.length();
        i < Math.min(text.length(), PREFIX.length() + DIGITS_IN_NUMBER);
        i++) {
      value = value * 10 + (text.charAt(i) - '0');
    }
    this.number = value;
    this.hash = (int) (number ^ number >>> 32) * 31 + text.length();
  }

  /** The id as text. */
  public String text() {
    return text;
  }

  /** Parses an id; null when the text does not have the form of one. */
  public static JobId parse(String text) {
    int digits = text.length() - PREFIX.length();
    if (!text.startsWith(PREFIX) || digits < 1 || digits > MAX_DIGITS) {
      return null;
    }
    for (int i = PREFIX.length(); i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return null;
      }
    }
    return new JobId(text);
  }

  /** Parses the digits of an id without the prefix; null when they are malformed. */
  public static JobId parseDigits(String digits) {
    return parse(PREFIX + digits);
  }

  /** The digits after the common prefix. */
  public String digits() {
    return text.substring(PREFIX.length());
  }

  /** The number of digits after the common prefix. */
  public int digitCount() {
    return text.length() - PREFIX.length();
  }

  /** The id of one of the job's tasks. */
  public TaskId task(int index) {
    return new TaskId(this, index);
  }

  @Override
  public boolean equals(Object other) {
    return this == other
        || (other instanceof JobId id
            && id.number == number
            && id.text.length() == text.length()
            && (digitCount() <= DIGITS_IN_NUMBER || id.text.equals(text)));
  }

  @Override
  public int hashCode() {
    return hash;
  }

  @Override
  public int compareTo(JobId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
