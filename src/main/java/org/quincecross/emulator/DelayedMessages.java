package org.quincecross.emulator;

import java.util.Random;
import org.quincecross.http.HttpRequest;

/**
 * Some of the messages between controllers and machines are held up on their way, each by itself:
 * commands and their answers, reports and theirs. Whoever waits gives up meanwhile; what was held
 * then arrives all the same, after messages that were sent later.
 */
final class DelayedMessages {
  static final DelayedMessages NONE = new DelayedMessages(0, 0, new Random(0));
  private static final double LEAST_S = 0.5;

  private final double share;
  private final double longestS;
  private final Random random;

  /**
   * @param share of the messages, 0 to 1
   * @param longestS each is held for 0.5 s to this
   */
  DelayedMessages(double share, double longestS, Random random) {
    this.share = share;
    this.longestS = longestS;
    this.random = random;
  }

  /** For how many seconds a request, or the answer to it, is held up. */
  double seconds(HttpRequest request) {
    if (share == 0
        || (!request.path().equals("/orders") && !request.path().equals("/agent/beat"))
        || random.nextDouble() >= share) {
      return 0;
    }
    return LEAST_S + random.nextDouble() * (longestS - LEAST_S);
  }
}
