package org.amberpath.routing;

/**
 * Whether a connect that did not complete in a request's time is evidence against the endpoint.
 * Guards endpoints against requests with little time left: on the networks that gateways and caches
 * share a connect takes milliseconds, so only one that takes a good part of the connect timeout
 * shows that the endpoint does not respond.
 */
public final class ConnectPatience {
  /** The part of the connect timeout after which an unanswered connect is evidence. */
  private static final int TIMEOUT_DIVISOR = 4;

  private ConnectPatience() {}

  /** Whether a connect that has been under way for that long is evidence against the endpoint. */
  public static boolean isEvidence(long underWayNanos, long connectTimeoutNanos) {
    return underWayNanos >= connectTimeoutNanos / TIMEOUT_DIVISOR;
  }
}
