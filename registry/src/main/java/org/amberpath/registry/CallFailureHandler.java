package org.amberpath.registry;

import java.util.function.Consumer;

/**
 * Handles failed calls: applies backoffs, lengthens timeouts, and logs failures that an operator
 * can act on. Times are nanoseconds.
 */
final class CallFailureHandler {
  /** Minimum delay before a retry after a failure that needs an operator. */
  private static final long OPERATOR_BACKOFF_NANOS = 5_000_000_000L;

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
  void giveUp(long nowNanos, RegistryCall call, RegistryFailure why) {
    calls.cancel(call);
    failed(nowNanos, call, why, 0);
  }

  /**
   * Handles a call that has failed.
   *
   * @param retryAfterNanos the delay that the server asked for; 0 for none
   */
  void failed(long nowNanos, RegistryCall call, RegistryFailure why, long retryAfterNanos) {
    calls.close(call);
    RegistryEndpoint endpoint = call.endpoint;
    boolean isWatch = call instanceof WatchCall;
    if (isWatch) {
      endpoint.watchBackoff.recordFailure(nowNanos, retryAfterNanos);
    }
    boolean isEndOfWatch = isWatch && why == RegistryFailure.BROKEN;
    if (why != RegistryFailure.LAGGING && !isEndOfWatch) {
      long operatorNanos = why.needsOperator() ? OPERATOR_BACKOFF_NANOS : 0;
      endpoint.requestBackoff.recordFailure(nowNanos, Math.max(retryAfterNanos, operatorNanos));
    }
    if (call instanceof ListCall && why == RegistryFailure.TIMED_OUT) {
      listing.timedOut();
    }
    if (call instanceof HeartbeatCall heartbeat) {
      heartbeats.failed(heartbeat, why);
    }
    if (isWorthALogLine(endpoint, why)) {
      log.accept("endpoint " + endpoint.index + ": " + call.kind() + " " + why);
    }
    endpoint.needsOperator = why.needsOperator();
  }

  private static boolean isWorthALogLine(RegistryEndpoint endpoint, RegistryFailure why) {
    return (why.needsOperator() && !endpoint.needsOperator)
        || why == RegistryFailure.UNREADABLE
        || why == RegistryFailure.LAGGING;
  }
}
