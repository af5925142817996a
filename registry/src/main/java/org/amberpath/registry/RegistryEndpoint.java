package org.amberpath.registry;

import java.util.SplittableRandom;

/** The state that a session keeps for one endpoint of the registry. Times are nanoseconds. */
final class RegistryEndpoint {
  private static final long MS = 1_000_000;
  private static final long FIRST_BACKOFF_NANOS = 50 * MS;
  private static final long MAX_BACKOFF_NANOS = 8000 * MS;

  /** An endpoint without a response for this long, other than failures, is out of contact. */
  static final long CONTACT_LOST_NANOS = 1000 * MS;

  /** Timestamp of an event that has not happened yet. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  final int index;
  final Backoff requestBackoff;
  final Backoff watchBackoff;

  /** The watch that is open or was requested; null for none. */
  WatchCall watch;

  /** The unanswered heartbeat; null for none. */
  HeartbeatCall heartbeat;

  /** The cluster id in the last response; empty before the first one. */
  String clusterId = "";

  /** Moving average of the heartbeat latency; a new sample has a weight of one quarter. */
  long averageLatencyNanos;

  long lastLatencyNanos;
  long heartbeatAnsweredAtNanos = NEVER;
  long lastAnswerAtNanos = NEVER;
  long lastRequestAtNanos = NEVER;

  /** Whether the last failure can't be overcome by retries, but needs an operator. */
  boolean needsOperator;

  private final long failoverNanos;

  /**
   * Creates the state of an endpoint that was never asked.
   *
   * @param failoverNanos time without a response after which another endpoint is asked
   */
  RegistryEndpoint(int index, SplittableRandom random, long failoverNanos) {
    this.index = index;
    this.failoverNanos = failoverNanos;
    requestBackoff = new Backoff(random, FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS);
    watchBackoff = new Backoff(random, FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS);
  }

  /**
   * Whether a request may be sent now. Guards against a backoff that hides the recovery of the only
   * endpoint left: even during its backoff, an endpoint whose heartbeats go unanswered may be asked
   * once per {@link #CONTACT_LOST_NANOS}.
   */
  boolean allowsRequest(long nowNanos) {
    return requestBackoff.allows(nowNanos)
        || (nowNanos - heartbeatAnsweredAtNanos >= failoverNanos
            && nowNanos - lastRequestAtNanos >= CONTACT_LOST_NANOS
            && !needsOperator);
  }

  /** Whether a response that is not a failure was received within {@link #CONTACT_LOST_NANOS}. */
  boolean isInContact(long nowNanos) {
    return nowNanos - lastAnswerAtNanos <= CONTACT_LOST_NANOS;
  }

  /**
   * Whether its heartbeat has been unanswered for at least the failover time, so that another
   * endpoint is to be asked.
   */
  boolean isHeartbeatOverdue(long nowNanos) {
    return heartbeat != null && nowNanos - heartbeat.sentAtNanos >= failoverNanos;
  }

  /** Whether the watch has been opened by the server and delivers changes. */
  boolean hasOpenWatch() {
    return watch != null && watch.isOpen;
  }

  /** Records a response that is not a failure. */
  void recordAnswer(long nowNanos) {
    lastAnswerAtNanos = nowNanos;
    needsOperator = false;
    requestBackoff.reset();
  }

  /** Records the response to a heartbeat. */
  void recordHeartbeatAnswer(long nowNanos, long latencyNanos) {
    heartbeatAnsweredAtNanos = nowNanos;
    lastLatencyNanos = latencyNanos;
    averageLatencyNanos =
        averageLatencyNanos == 0
            ? lastLatencyNanos
            : (3 * averageLatencyNanos + lastLatencyNanos) / 4;
  }

  /** Records a heartbeat that timed out: its latency counts as at least the timeout. */
  void recordHeartbeatTimeout(long timeoutNanos) {
    averageLatencyNanos = Math.max(averageLatencyNanos, timeoutNanos);
    lastLatencyNanos = averageLatencyNanos;
  }

  /**
   * Clears the backoffs after a reload of the settings' files: the endpoint may be asked at once.
   */
  void resetBackoff() {
    needsOperator = false;
    requestBackoff.reset();
    watchBackoff.reset();
  }
}
