package org.amberpath.routing;

/**
 * The configuration of retries and hedging.
 *
 * @param maxAttempts maximum number of attempts of one request, including the first
 * @param hedging whether a second attempt may run concurrently with the first
 * @param cancellation whether attempts may be cancelled at their endpoints
 * @param retryAfter whether a rejection may recommend a wait to the client
 * @param maxRetryAfterNanos the longest wait that a rejection may recommend, in nanoseconds
 */
public record RetryConfig(
    int maxAttempts,
    boolean hedging,
    boolean cancellation,
    boolean retryAfter,
    long maxRetryAfterNanos) {}
