package org.quincecross.leader;

import org.quincecross.model.TaskSet;

/**
 * Chooses which tasks of a job a shard's allocation record names, so that their text is no longer
 * than every build reads.
 *
 * <p>Tasks are written as ranges, which become many and short when the tasks of a range are
 * completed out of order. Readers ignore completed tasks, so completed tasks of the present record
 * are kept where they join the others to fewer ranges. Gaps of released tasks cannot be closed: if
 * there are too many of them, some tasks are released with a later write, once others are
 * completed.
 *
 * @param recorded the tasks that the present record names
 * @param completed those of them that are completed
 * @param maxLength the maximum length of the text
 */
record StoredTasks(TaskSet recorded, TaskSet completed, int maxLength) {
  /**
   * Creates the choice for a shard.
   *
   * @param recorded the tasks of the job that the shard's allocation has
   * @param completed the job's completed tasks
   * @param maxLength the maximum length of the text
   */
  static StoredTasks of(TaskSet recorded, TaskSet completed, int maxLength) {
    return new StoredTasks(recorded, recorded.intersection(completed), maxLength);
  }

  /** Whether a set can be stored as it is. */
  static boolean isShort(TaskSet tasks) {
    return tasks.textLength() <= TaskSet.MAX_STORED_TEXT_LENGTH;
  }

  /**
   * The tasks to be written so that a shard has the wanted ones; as few others as possible if not
   * all that are no longer wanted can be released. Tasks that are not in the present record may be
   * left out if there is no room for them.
   */
  TaskSet toWrite(TaskSet wanted) {
    TaskSet shortest = shortest(wanted);
    if (fits(shortest)) {
      return shortest;
    }
    TaskSet present = recorded.copy();
    present.removeAll(completed);
    TaskSet all = present.copy();
    all.addAll(wanted);
    return shortest(withoutReleased(fits(shortest(all)) ? all : present, wanted));
  }

  /**
   * The wanted tasks alone if they fit, else with the completed ones between them, or with all
   * completed ones, which never exceed the present text.
   */
  TaskSet shortest(TaskSet wanted) {
    if (fits(wanted)) {
      return wanted;
    }
    TaskSet joined = wanted.withGapsClosedBy(completed);
    if (fits(joined)) {
      return joined;
    }
    TaskSet withAll = wanted.copy();
    withAll.addAll(completed);
    return withAll.textLength() < joined.textLength() ? withAll : joined;
  }

  private TaskSet withoutReleased(TaskSet tasks, TaskSet wanted) {
    TaskSet left = tasks;
    for (int i = tasks.nextMember(0); i >= 0; i = tasks.nextMember(i + 1)) {
      TaskSet fewer = wanted.contains(i) ? left : left.without(i);
      if (fewer.size() < left.size() && fits(shortest(fewer))) {
        left = fewer;
      }
    }
    return left;
  }

  private boolean fits(TaskSet tasks) {
    return tasks.textLength() <= maxLength;
  }
}
