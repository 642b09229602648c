package org.quincecross.model;

/**
 * The id that a user gives a job: the word {@code job-} and one to twenty digits. A class rather
 * than a record: ids are looked up all the time, read from a message each time, and comparing them
 * by what their digits say costs a third of comparing their texts.
 */
public final class JobId implements Comparable<JobId> {
  private static final String PREFIX = "job-";
  private static final int MOST_DIGITS = 20;

  /** So many digits say all in a long. */
  private static final int DIGITS_IN_NUMBER = 18;

  private final String text;

  /** The first digits, up to {@link #DIGITS_IN_NUMBER}. */
  private final long number;

  private final int hash;

  /** {@code text} has the form of an id, as {@link #parse} checks. */
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

  public String text() {
    return text;
  }

  /** The id in {@code text}, or null when the text does not have the form of one. */
  public static JobId parse(String text) {
    int digits = text.length() - PREFIX.length();
    if (!text.startsWith(PREFIX) || digits < 1 || digits > MOST_DIGITS) {
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

  /** The id whose digits these are, or null when they are not. */
  public static JobId parseDigits(String digits) {
    return parse(PREFIX + digits);
  }

  /** What sets this id apart from others. */
  public String digits() {
    return text.substring(PREFIX.length());
  }

  /** How many digits set this id apart. */
  public int digitCount() {
    return text.length() - PREFIX.length();
  }

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
