package org.quincecross.model;

/** The id that a user gives a job: the word {@code job-} and one to twenty digits. */
public record JobId(String text) implements Comparable<JobId> {
    private static final String PREFIX = "job-";
    private static final int MOST_DIGITS = 20;

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
    public static JobId ofDigits(String digits) {
        return parse(PREFIX + digits);
    }

    /** What sets this id apart from others. */
    public String digits() {
        return text.substring(PREFIX.length());
    }

    public TaskId task(int index) {
        return new TaskId(this, index);
    }

    // Written out because ids are looked up all the time, and what a record is given for this is slow without the
    // larger compiler, which the machines have no memory for.
    @Override
    public boolean equals(Object other) {
        return other instanceof JobId id && id.text.equals(text);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
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
