package org.quincecross.emulator;

import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Decides which transactions the state service does not answer, and how much later it applies them.
 */
interface DelayedTransactions {
  /** Applied and answered on arrival. */
  double PROMPT = -1;

  /** Applied on arrival; only the answer is lost, so other readers see the change at once. */
  double AT_ONCE = 0;

  DelayedTransactions NONE = transaction -> PROMPT;

  /**
   * Decides what happens to a transaction.
   *
   * @param transaction its body
   * @return {@link #PROMPT}, {@link #AT_ONCE}, or the delay in seconds after which it is applied
   *     without an answer
   */
  double afterS(String transaction);

  /**
   * While the condition holds, a share of all transactions is applied {@code leastS} to {@code
   * mostS} seconds later.
   */
  static DelayedTransactions share(
      double share, double leastS, double mostS, BooleanSupplier isSo, Random draws) {
    return transaction ->
        isSo.getAsBoolean() && draws.nextDouble() < share
            ? leastS + draws.nextDouble() * (mostS - leastS)
            : PROMPT;
  }

  /**
   * While the condition holds, a share of all transactions is applied on arrival without an answer.
   */
  static DelayedTransactions atOnce(double share, BooleanSupplier isSo, Random draws) {
    return transaction -> isSo.getAsBoolean() && draws.nextDouble() < share ? AT_ONCE : PROMPT;
  }
}
