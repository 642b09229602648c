package org.quincecross.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.JobId;

/** Describes what the tasks of a job wait for in a shard. */
final class UnplacedReasons {
  private UnplacedReasons() {}

  /** One line for each reason; none if all of the job's tasks here run. */
  static List<String> of(JobId job, ShardState state) {
    Map<String, Integer> counts = new TreeMap<>();
    for (Placement placement : state.placements().ofJob(job)) {
      String what = waitReason(placement);
      if (what != null) {
        counts.merge(what, 1, Integer::sum);
      }
    }
    List<String> waits = new ArrayList<>();
    counts.forEach(
        (what, tasks) ->
            waits.add(
                tasks
                    + (tasks == 1 ? " task in block " : " tasks in block ")
                    + state.id()
                    + ": "
                    + what));
    return waits;
  }

  private static String waitReason(Placement placement) {
    return switch (placement.state()) {
      case UNSETTLED ->
          "not to be started before every machine there has shown the present token or is proven gone";
      case WAITING ->
          placement.failures() == 0
              ? "queued for room"
              : "queued again after " + placement.failures() + " failed or refused starts";
      case STARTING -> "to start on " + placement.machine();
      case ACTIVE ->
          placement.isRunning()
              ? null
              : "on " + placement.machine() + ", waiting for its image or its gang";
      case STOPPING -> "being stopped on " + placement.machine();
      case COMPLETED -> "completed, its result not yet durable";
      case RELEASED -> "given back, its allocation not yet written anew";
    };
  }
}
