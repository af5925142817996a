package org.amberpath.routing;

/** How one attempt to send a request to an endpoint ended. */
public enum AttemptOutcome {
  /** The endpoint responded with the object. */
  SUCCEEDED(false),
  /** The endpoint responded with an error. */
  FAILED(false),
  /** The endpoint rejected the request before running it. */
  REJECTED(true),
  /** No response was received before the attempt's deadline. */
  TIMED_OUT(false),
  /** No connection to the endpoint could be made. */
  CONNECT_FAILED(true),
  /** The connection was lost after the request had been written. */
  CONNECTION_LOST(false),
  /** The gateway cancelled the attempt. */
  CANCELLED(false),
  /**
   * The request was not executed, for a reason that says nothing about the endpoint's health: it
   * was never written because of this host or its deadline, or the endpoint reported it as stale.
   */
  NOT_SENT(true),
  /** The endpoint of a cached-only attempt had no copy. */
  NOT_CACHED(true),
  /**
   * The request was never written, and the endpoint is not to blame: a discovery event arrived
   * before a connection was ready, or the time was too short to show that the endpoint does not
   * respond.
   */
  WITHDRAWN(true);

  private final boolean provesNotExecuted;

  AttemptOutcome(boolean provesNotExecuted) {
    this.provesNotExecuted = provesNotExecuted;
  }

  /**
   * Whether the outcome proves that the request had no effect, so that it may be retried whatever
   * its {@link Idempotency}.
   */
  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
