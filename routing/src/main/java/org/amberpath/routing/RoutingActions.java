package org.amberpath.routing;

/**
 * Carries out a gateway's decisions, in the order in which they are made. Endpoints go by the
 * indices under which they were listed; times are nanoseconds.
 */
public interface RoutingActions {
  /** Sends a request to an endpoint. */
  void sendAttempt(AttemptCommand command);

  /**
   * Attempts of this request that follow begin by this clock time or not at all, however long one
   * waits for a connection.
   */
  default void limitRetryStart(long requestId, long latestNanos) {}

  /**
   * Final answer: the request did not run and may be repeated, best after the given wait (0: no
   * advice).
   */
  void reject(long requestId, long retryAfterNanos);

  /** Final answer that promises nothing about the request's effect. */
  void fail(long requestId);

  /** Cancels an attempt that is under way. */
  void cancelAttempt(long requestId, int attempt);

  /** Has {@link RoutingEventHandler#timerFired} called with the handle after the delay. */
  void scheduleTimer(long delayNanos, String handle);

  /** Asks for changes of the endpoint list from now on. */
  void subscribeEndpoints();

  /** How an edge cache looks from here; called when that changes, or may have. */
  default void endpointHealthChanged(int endpoint, EndpointHealthStatus status) {}

  /** An edge cache of the zone has just started, and is warming up until this clock time. */
  default void endpointWarmingUp(int endpoint, long untilNanos) {}
}
