package org.amberpath.routing;

/** How one attempt to send a request to an endpoint ended. */
public enum AttemptOutcome {
  /** The endpoint answered with the object. */
  SUCCEEDED(false),
  /** The endpoint answered with an error. */
  FAILED(false),
  /** The endpoint rejected the request before running it. */
  REJECTED(true),
  /** No answer came before the attempt's deadline. */
  TIMED_OUT(false),
  /** No connection to the endpoint could be made. */
  CONNECT_FAILED(true),
  /** The connection was lost after the request had been written. */
  CONNECTION_LOST(false),
  /** The gateway cancelled the attempt. */
  CANCELLED(false),
  /** The request was never written, for a reason on this host. */
  NOT_SENT(true),
  /** A cached-only attempt found no copy at the endpoint. */
  NOT_CACHED(true),
  /**
   * Never written: a discovery event arrived before its connection was ready. It says nothing about
   * the endpoint's health.
   */
  WITHDRAWN(true);

  private final boolean provesNotExecuted;

  AttemptOutcome(boolean provesNotExecuted) {
    this.provesNotExecuted = provesNotExecuted;
  }

  /** Whether the outcome proves that the request had no effect, so that any kind may be retried. */
  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
