package org.amberpath.routing;

/**
 * Tokens for further attempts: each request brings a part of one, each attempt past the first costs
 * one.
 */
final class RetryBudget {
  private static final double TOKENS_PER_REQUEST = 0.2;
  private static final double MAX_TOKENS = 40;

  private double tokens = MAX_TOKENS;

  /** A request has come. */
  void deposit() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /**
   * The attempt that follows is free: the one before asked nothing of those whom the budget guards.
   */
  void refund() {
    tokens += 1;
  }

  /** Takes a token, if there is one. */
  boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
