package org.amberpath.routing;

/**
 * What the configuration allows beyond the first attempt of a request.
 *
 * @param maxAttempts attempts of one request, the first among them
 * @param hedging whether a second attempt may run beside the first
 * @param cancellation whether attempts may be cancelled at their endpoints
 * @param retryAfter whether a rejection may say when to come back
 * @param maxRetryAfterNanos the longest wait that a rejection may ask for
 */
public record RetryConfig(
    int maxAttempts,
    boolean hedging,
    boolean cancellation,
    boolean retryAfter,
    long maxRetryAfterNanos) {}
