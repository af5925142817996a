package org.amberpath.routing;

/**
 * One attempt to have a request answered, sent by a route.
 *
 * @param number its place among the request's attempts, from 0
 * @param sentAtNanos when it was decided
 * @param refundableWorkSeconds the work charged to a source that is warming up, refunded if the
 *     endpoint needed no fill
 */
record Attempt(
    InFlightRequest request,
    int number,
    Route route,
    long sentAtNanos,
    double refundableWorkSeconds) {

  /** Where it was sent. */
  Endpoint endpoint() {
    return route.endpoint();
  }

  /** The endpoint that fills a miss; the attempt's own where nothing is filled. */
  Endpoint source() {
    return route.source() == null ? route.endpoint() : route.source();
  }

  /** Whether a miss is filled by another endpoint. */
  boolean hasSource() {
    return source() != endpoint();
  }

  /** Whether only a copy that is cached already may be returned. */
  boolean cachedOnly() {
    return route.cachedOnly();
  }

  /** Whether it has waited for longer than its request's patience. */
  boolean isOverdue(long nowNanos) {
    return nowNanos - sentAtNanos > request.patienceNanos;
  }
}
