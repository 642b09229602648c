package org.quincecross.emulator;

import java.util.Random;
import org.quincecross.model.JobId;

/**
 * Users who read from all controllers at once: right after a job was accepted, its last task ended,
 * or one of them was told that it is done or cancelled, they send five requests to the controllers
 * in turn within 10 ms and submit the job once more. Some cancel it at once.
 */
final class ConcurrentReaders {
  private static final int REQUESTS_PER_EVENT = 5;
  private static final double REQUEST_WINDOW_S = 0.01;

  private final ClusterEnvironment environment;
  private final Random random;
  private final double share;
  private final double cancelShare;
  private final double untilS;

  private ConcurrentReaders(
      ClusterEnvironment environment,
      Random random,
      double share,
      double cancelShare,
      double seconds) {
    this.environment = environment;
    this.random = random;
    this.share = share;
    this.cancelShare = cancelShare;
    this.untilS = environment.clock().seconds() + seconds;
  }

  /**
   * Starts these users for some seconds.
   *
   * @param share of the job events that are followed by such requests, 0 to 1
   * @param cancelShare of the jobs that are cancelled as soon as they are accepted
   */
  static void begin(
      ClusterEnvironment environment,
      double share,
      double cancelShare,
      double seconds,
      Random random) {
    ConcurrentReaders readers =
        new ConcurrentReaders(environment, random, share, cancelShare, seconds);
    environment.users().addListener(readers::onJobEvent);
  }

  private void onJobEvent(UserSimulator.JobEvent moment, JobId id) {
    if (environment.clock().seconds() >= untilS || random.nextDouble() >= share) {
      return;
    }
    int first = random.nextInt(environment.spec().nodes());
    for (int i = 0; i < REQUESTS_PER_EVENT; i++) {
      sendTo(first + i, UserSimulator.RequestKind.STATE, id);
    }
    sendTo(random.nextInt(environment.spec().nodes()), UserSimulator.RequestKind.AGAIN, id);
    if (moment == UserSimulator.JobEvent.ACCEPTED && random.nextDouble() < cancelShare) {
      sendTo(random.nextInt(environment.spec().nodes()), UserSimulator.RequestKind.CANCEL, id);
      environment.clock().after(REQUEST_WINDOW_S, () -> environment.users().cancel(id));
    }
  }

  private void sendTo(int node, UserSimulator.RequestKind what, JobId id) {
    environment
        .clock()
        .after(
            REQUEST_WINDOW_S * random.nextDouble(),
            () -> environment.users().sendOnce(node % environment.spec().nodes(), what, id));
  }
}
