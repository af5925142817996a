package org.amberpath.routing;

/**
 * Carries out the decisions of {@link RequestRouter}, in the order in which they are made. An
 * endpoint is identified by the index under which it was listed; times are nanoseconds.
 */
public interface RoutingActions {
  /** Sends a request to an endpoint. */
  void sendAttempt(AttemptCommand command);

  /**
   * Sets the latest clock time at which a retry of the request may be written. A retry that still
   * waits for a connection by then must not be written.
   */
  default void limitRetryStart(long requestId, long latestNanos) {}

  /**
   * Sends the final response: the request was rejected and is safe to repeat.
   *
   * @param retryAfterNanos the wait that is recommended to the client; 0 for no recommendation
   */
  void reject(long requestId, long retryAfterNanos);

  /** Sends the final response: the request failed, and may or may not have taken effect. */
  void fail(long requestId);

  /** Cancels an attempt that is in flight. */
  void cancelAttempt(long requestId, int attempt);

  /** Schedules a call of {@link RoutingEventHandler#timerFired} with the handle after the delay. */
  void scheduleTimer(long delayNanos, String handle);

  /** Subscribes to changes of the endpoint list. */
  void subscribeEndpoints();

  /** Reports the health of an edge cache as this gateway sees it; the status may be unchanged. */
  default void endpointHealthChanged(int endpoint, EndpointHealthStatus status) {}

  /** Reports that an edge cache of the zone has restarted and warms up until this clock time. */
  default void endpointWarmingUp(int endpoint, long untilNanos) {}
}
