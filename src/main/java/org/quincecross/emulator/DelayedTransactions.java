package org.quincecross.emulator;

import java.util.Random;
import java.util.function.BooleanSupplier;

/** Which transactions the state service does not answer, and how much later it carries them out. */
interface DelayedTransactions {
  /** Carried out and answered as it comes. */
  double PROMPT = -1;

  /** Carried out as it comes, and only the answer is lost: whoever else reads sees it at once. */
  double AT_ONCE = 0;

  DelayedTransactions NONE = transaction -> PROMPT;

  /**
   * Says what becomes of a transaction.
   *
   * @param transaction its body
   * @return {@link #PROMPT}, {@link #AT_ONCE}, or after how many seconds it is carried out without
   *     an answer
   */
  double afterS(String transaction);

  /**
   * A share of all, for as long as it is so, carried out from {@code leastS} to {@code mostS}
   * seconds later.
   */
  static DelayedTransactions share(
      double share, double leastS, double mostS, BooleanSupplier isSo, Random draws) {
    return transaction ->
        isSo.getAsBoolean() && draws.nextDouble() < share
            ? leastS + draws.nextDouble() * (mostS - leastS)
            : PROMPT;
  }

  /** Of a share of all, for as long as it is so, only the answer is lost. */
  static DelayedTransactions atOnce(double share, BooleanSupplier isSo, Random draws) {
    return transaction -> isSo.getAsBoolean() && draws.nextDouble() < share ? AT_ONCE : PROMPT;
  }
}
