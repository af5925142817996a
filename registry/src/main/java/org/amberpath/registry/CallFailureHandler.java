package org.amberpath.registry;

import java.util.function.Consumer;

/**
 * Handles failed calls: applies backoffs, lengthens timeouts, and logs failures that an operator
 * can act on. Times are nanoseconds.
 */
final class CallFailureHandler {
  /** Minimum delay before a retry after a failure that needs an operator. */
  private static final long MIN_OPERATOR_BACKOFF_NANOS = 5_000_000_000L;

  private final OpenCalls calls;
  private final HeartbeatMonitor heartbeats;
  private final PagedListing listing;
  private final Consumer<String> log;

  CallFailureHandler(
      OpenCalls calls, HeartbeatMonitor heartbeats, PagedListing listing, Consumer<String> log) {
    this.calls = calls;
    this.heartbeats = heartbeats;
    this.listing = listing;
    this.log = log;
  }

  /** Cancels a call and counts it as a failure of its endpoint. */
  void cancelAndFail(long nowNanos, RegistryCall call, RegistryFailure failure) {
    calls.cancel(call);
    handleFailure(nowNanos, call, failure, 0);
  }

  /**
   * Handles a call that has failed.
   *
   * @param retryAfterNanos the delay that the server asked for; 0 for none
   */
  void handleFailure(
      long nowNanos, RegistryCall call, RegistryFailure failure, long retryAfterNanos) {
    calls.close(call);
    RegistryEndpoint endpoint = call.endpoint;
    boolean isWatch = call instanceof WatchCall;
    if (isWatch) {
      endpoint.watchBackoff.recordFailure(nowNanos, retryAfterNanos);
    }
    boolean isEndOfWatch = isWatch && failure == RegistryFailure.BROKEN;
    if (failure != RegistryFailure.LAGGING && !isEndOfWatch) {
      long minDelayNanos = failure.needsOperator() ? MIN_OPERATOR_BACKOFF_NANOS : 0;
      endpoint.requestBackoff.recordFailure(nowNanos, Math.max(retryAfterNanos, minDelayNanos));
    }
    if (call instanceof ListCall && failure == RegistryFailure.TIMED_OUT) {
      listing.recordTimeout();
    }
    if (call instanceof HeartbeatCall heartbeat) {
      heartbeats.recordFailure(heartbeat, failure);
    }
    if (needsLogLine(endpoint, failure)) {
      log.accept("endpoint " + endpoint.index + ": " + call.kind() + " failed: " + failure);
    }
    endpoint.needsOperator = failure.needsOperator();
  }

  private static boolean needsLogLine(RegistryEndpoint endpoint, RegistryFailure failure) {
    return (failure.needsOperator() && !endpoint.needsOperator)
        || failure == RegistryFailure.UNREADABLE
        || failure == RegistryFailure.LAGGING;
  }
}
