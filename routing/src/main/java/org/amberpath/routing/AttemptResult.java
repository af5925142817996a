package org.amberpath.routing;

/**
 * The result of one attempt.
 *
 * @param requestId id of the request that the attempt was sent for
 * @param attempt number of the attempt within its request, from 0
 * @param endpoint index of the endpoint that the attempt was sent to
 * @param outcome how the attempt ended
 * @param durationNanos duration of the attempt, without the time for which the event loop was
 *     blocked
 * @param requestFinished whether the request has received its final response, too
 * @param detail how the endpoint produced the response, as far as the response states it
 */
public record AttemptResult(
    long requestId,
    int attempt,
    int endpoint,
    AttemptOutcome outcome,
    long durationNanos,
    boolean requestFinished,
    ResponseDetail detail) {}
