package org.amberpath.routing;

/**
 * A token bucket for retries and hedged requests: each request adds a fifth of a token, each
 * attempt after the first costs one, and at most 40 are saved.
 */
final class RetryBudget {
  private static final double TOKENS_PER_REQUEST = 0.2;
  private static final double MAX_TOKENS = 40;

  private double tokens = MAX_TOKENS;

  /** Adds the tokens for a request that has arrived. */
  void deposit() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /**
   * Adds a token, so that the next attempt is free: the previous one put no load on the targets
   * that the budget guards.
   */
  void refund() {
    tokens += 1;
  }

  /** Removes a token if there is one; returns whether there was. */
  boolean tryWithdraw() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
