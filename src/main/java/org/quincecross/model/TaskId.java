package org.quincecross.model;

/** A task of a job, numbered from 0. */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {
  /** Parses text such as {@code job-000412/3}; null when the text has another form. */
  public static TaskId parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 0) {
      return null;
    }
    JobId job = JobId.parse(text.substring(0, slash));
    String digits = text.substring(slash + 1);
    if (job == null || digits.isEmpty() || digits.length() > 6) {
      return null;
    }
    int index = 0;
    for (int i = 0; i < digits.length(); i++) {
      char c = digits.charAt(i);
      if (c < '0' || c > '9') {
        return null;
      }
      index = index * 10 + (c - '0');
    }
    return new TaskId(job, index);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId task && task.index == index && task.job.equals(job);
  }

  @Override
  public int hashCode() {
    return job.hashCode() * 31 + index;
  }

  @Override
  public int compareTo(TaskId other) {
    int byJob = job.compareTo(other.job);
    return byJob != 0 ? byJob : Integer.compare(index, other.index);
  }

  @Override
  public String toString() {
    return job.text() + "/" + index;
  }
}
