package org.amberpath.routing;

/**
 * Decides whether a connect that did not complete in a request's time is evidence against the
 * endpoint. Guards endpoints against requests with little time left: on the networks that gateways
 * and caches share, a connect takes milliseconds, so only one that has been pending for a quarter
 * of the connect timeout shows that the endpoint does not respond.
 */
public final class ConnectFailureEvidence {
  /** A pending connect is evidence after the connect timeout divided by this. */
  private static final int TIMEOUT_DIVISOR = 4;

  private ConnectFailureEvidence() {}

  /**
   * Whether a connect that has been pending for the given time is evidence against the endpoint.
   */
  public static boolean isEvidence(long pendingNanos, long connectTimeoutNanos) {
    return pendingNanos >= connectTimeoutNanos / TIMEOUT_DIVISOR;
  }
}
