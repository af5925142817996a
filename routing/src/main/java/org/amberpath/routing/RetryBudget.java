package org.amberpath.routing;

/**
 * Tokens for retries and hedged requests: each request adds a fifth of one, each attempt past the
 * first costs one. Forty are saved at most.
 */
final class RetryBudget {
  private static final double TOKENS_PER_REQUEST = 0.2;
  private static final double MAX_TOKENS = 40;

  private double tokens = MAX_TOKENS;

  /** A request has arrived. */
  void deposit() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /**
   * Makes the next attempt free: the one before put no load on the targets that the budget guards.
   */
  void refund() {
    tokens += 1;
  }

  /** Takes a token if there is one; returns whether there was. */
  boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
