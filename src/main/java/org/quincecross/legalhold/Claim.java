package org.quincecross.legalhold;

import java.util.List;
import org.quincecross.model.TaskSet;

/** Which records some tasks of a job touch: each of these tasks may touch all of these records. */
public record Claim(TaskSet tasks, List<Records> records) {}
