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

  private final ClusterEnvironment around;
  private final Random random;
  private final double share;
  private final double cancelShare;
  private final double untilS;

  private ConcurrentReaders(
      ClusterEnvironment around, Random random, double share, double cancelShare, double seconds) {
    this.around = around;
    this.random = random;
    this.share = share;
    this.cancelShare = cancelShare;
    this.untilS = around.clock().seconds() + seconds;
  }

  /**
   * Starts these users for some seconds.
   *
   * @param share of the job events that are followed by such requests, 0 to 1
   * @param cancelShare of the jobs that are cancelled as soon as they are accepted
   */
  static void begin(
      ClusterEnvironment around, double share, double cancelShare, double seconds, Random random) {
    ConcurrentReaders looks = new ConcurrentReaders(around, random, share, cancelShare, seconds);
    around.users().watch(looks::onJobEvent);
  }

  private void onJobEvent(UserSimulator.Moment moment, JobId id) {
    if (around.clock().seconds() >= untilS || random.nextDouble() >= share) {
      return;
    }
    int first = random.nextInt(around.site().nodes());
    for (int i = 0; i < REQUESTS_PER_EVENT; i++) {
      sendTo(first + i, UserSimulator.Asks.STATE, id);
    }
    sendTo(random.nextInt(around.site().nodes()), UserSimulator.Asks.AGAIN, id);
    if (moment == UserSimulator.Moment.ACCEPTED && random.nextDouble() < cancelShare) {
      sendTo(random.nextInt(around.site().nodes()), UserSimulator.Asks.CANCEL, id);
      around.clock().after(REQUEST_WINDOW_S, () -> around.users().cancel(id));
    }
  }

  private void sendTo(int node, UserSimulator.Asks what, JobId id) {
    around
        .clock()
        .after(
            REQUEST_WINDOW_S * random.nextDouble(),
            () -> around.users().once(node % around.site().nodes(), what, id));
  }
}
