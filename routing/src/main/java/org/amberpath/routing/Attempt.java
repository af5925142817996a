package org.amberpath.routing;

/**
 * One attempt to obtain the response to a request, sent along a route.
 *
 * @param request the request that the attempt was sent for
 * @param number number of the attempt within its request, from 0
 * @param route the endpoint and the fill source of the attempt
 * @param sentAtNanos time at which the attempt was decided
 * @param refundableWorkSeconds the work charged to a fill source that is warming up, which is
 *     refunded if the endpoint needed no fill
 */
record Attempt(
    InFlightRequest request,
    int number,
    Route route,
    long sentAtNanos,
    double refundableWorkSeconds) {

  /** Returns the endpoint that the attempt was sent to. */
  Endpoint endpoint() {
    return route.endpoint();
  }

  /** Returns the endpoint that fills a miss; the attempt's own endpoint if a miss is not filled. */
  Endpoint source() {
    return route.source() == null ? route.endpoint() : route.source();
  }

  /** Whether a miss is filled from another endpoint. */
  boolean hasSource() {
    return source() != endpoint();
  }

  /** Whether the endpoint may respond only from its cache. */
  boolean cachedOnly() {
    return route.cachedOnly();
  }

  /** Whether the attempt has been in flight for longer than its request's soft timeout. */
  boolean isOverdue(long nowNanos) {
    return nowNanos - sentAtNanos > request.softTimeoutNanos;
  }
}
