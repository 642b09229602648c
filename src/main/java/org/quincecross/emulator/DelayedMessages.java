package org.quincecross.emulator;

import java.util.Random;
import org.quincecross.http.HttpRequest;

/**
 * Delays some of the messages between controllers and machines, each independently: commands and
 * their answers, reports and their answers. The caller times out meanwhile; the delayed message
 * still arrives, after messages that were sent later.
 */
final class DelayedMessages {
  static final DelayedMessages NONE = new DelayedMessages(0, 0, new Random(0));
  private static final double MIN_DELAY_S = 0.5;

  private final double share;
  private final double maxDelayS;
  private final Random random;

  /**
   * @param share of the messages, 0 to 1
   * @param longestS each delay is between 0.5 s and this
   */
  DelayedMessages(double share, double longestS, Random random) {
    this.share = share;
    this.maxDelayS = longestS;
    this.random = random;
  }

  /** The delay of a request or of its answer, in seconds. */
  double delayS(HttpRequest request) {
    if (share == 0
        || (!request.path().equals("/orders") && !request.path().equals("/agent/beat"))
        || random.nextDouble() >= share) {
      return 0;
    }
    return MIN_DELAY_S + random.nextDouble() * (maxDelayS - MIN_DELAY_S);
  }
}
