package org.quincecross.legalhold;

import java.util.List;
import org.quincecross.model.TaskSet;

/** The records that tasks of a job may access: each of the tasks may access all of the records. */
public record RecordClaim(TaskSet tasks, List<RecordSelector> records) {}
