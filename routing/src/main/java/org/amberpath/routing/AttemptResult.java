package org.amberpath.routing;

/**
 * How one attempt ended.
 *
 * @param requestId the request that the attempt was made for
 * @param attempt number of the attempt within its request, from 0
 * @param endpoint index of the endpoint that it went to
 * @param outcome how it ended
 * @param durationNanos how long it took, without the time for which the event loop was blocked
 * @param requestFinished whether the request has its final answer, too
 * @param detail what the response says of the way it came
 */
public record AttemptResult(
    long requestId,
    int attempt,
    int endpoint,
    AttemptOutcome outcome,
    long durationNanos,
    boolean requestFinished,
    ResponseDetail detail) {}
