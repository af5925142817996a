package amberpath;

/**
 * One copy of a request, sent to an endpoint.
 *
 * @param number its place among the request's attempts, from 0
 * @param endpoint where it was sent
 * @param source who fills a miss; the endpoint itself where nothing is filled
 * @param cachedOnly whether only a copy that is cached already may be returned
 * @param sentAtNanos when it was decided
 */
record Attempt(InFlightRequest request, int number, Endpoint endpoint, Endpoint source, boolean cachedOnly,
    long sentAtNanos) {

  /** Whether a miss is filled by another endpoint. */
  boolean hasSource() {
    return source != endpoint;
  }

  /** Whether it has waited for longer than its request's patience. */
  boolean isOverdue(long nowNanos) {
    return nowNanos - sentAtNanos > request.patienceNanos;
  }
}
