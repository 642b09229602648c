package org.quincecross.shard;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Attempt;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskId;
import org.quincecross.protocol.AgentCommand;
import org.quincecross.protocol.Heartbeat;
import org.quincecross.protocol.JobCodec;

/**
 * Makes an agent send a heartbeat at once. An agent does so when it has a new task, whatever
 * becomes of it; so it is given one that cannot exist, which it refuses and reports. This starts
 * nothing, so a copy of the command is harmless however late it arrives, also at an agent that has
 * restarted since.
 */
final class HeartbeatRequest {
  /** No job has a task of this index, and users choose shorter ids. */
  private static final TaskId NO_TASK =
      new JobId("job-00000000000000000000").task(JobCodec.MAX_TASKS);

  private HeartbeatRequest() {}

  /** Whether a status is the refusal that an earlier request has left. */
  static boolean isRefusal(Heartbeat.TaskStatus status) {
    return status.task().equals(NO_TASK);
  }

  /**
   * The commands that make the agent send a heartbeat.
   *
   * @param last its last message, whose number makes the attempt a new one; earlier refusals in it
   *     are cleared
   */
  static List<AgentCommand> commands(Heartbeat last) {
    List<AgentCommand> commands = new ArrayList<>();
    for (Heartbeat.TaskStatus status : last.tasks()) {
      if (isRefusal(status)) {
        commands.add(AgentCommand.forget(NO_TASK, status.attempt()));
      }
    }
    commands.add(AgentCommand.start(NO_TASK, new Attempt(last.sequence())));
    return commands;
  }
}
