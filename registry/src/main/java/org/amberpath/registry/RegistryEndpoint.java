package org.amberpath.registry;

import java.util.SplittableRandom;

/** What a session knows of one endpoint of the registry. Times are nanoseconds. */
final class RegistryEndpoint {
  private static final long MS = 1_000_000;
  private static final long FIRST_BACKOFF_NANOS = 50 * MS;
  private static final long MAX_BACKOFF_NANOS = 8000 * MS;

  /** Without an answer for this long an endpoint is out of contact. */
  static final long CONTACT_LOST_NANOS = 1000 * MS;

  /** Before the first event of its kind. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  final int index;
  final Backoff requestBackoff;
  final Backoff watchBackoff;

  /** The open watch; null where there is none. */
  WatchCall watch;

  /** The heartbeat that is not answered yet; null where there is none. */
  HeartbeatCall heartbeat;

  /** The id of the cluster in its last answer; empty before one. */
  String clusterId = "";

  /** How long heartbeats take: a moving average, in which each new one counts a quarter. */
  long averageLatencyNanos;

  long lastLatencyNanos;
  long heartbeatAnsweredAtNanos = NEVER;
  long heardAtNanos = NEVER;
  long triedAtNanos = NEVER;

  /** Whether its last failure needs an operator to change something. */
  boolean needsOperator;

  private final long failoverNanos;

  /**
   * An endpoint that was never tried.
   *
   * @param failoverNanos after how long without an answer another endpoint is asked
   */
  RegistryEndpoint(int index, SplittableRandom random, long failoverNanos) {
    this.index = index;
    this.failoverNanos = failoverNanos;
    requestBackoff = new Backoff(random, FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS);
    watchBackoff = new Backoff(random, FIRST_BACKOFF_NANOS, MAX_BACKOFF_NANOS);
  }

  /**
   * Whether a request may be sent now. Guards against an endpoint that came back unseen when it is
   * the last one left: in spite of its backoff it may be tried once in {@link #CONTACT_LOST_NANOS}.
   */
  boolean allowsRequest(long nowNanos) {
    return requestBackoff.allows(nowNanos)
        || (nowNanos - heartbeatAnsweredAtNanos >= failoverNanos
            && nowNanos - triedAtNanos >= CONTACT_LOST_NANOS
            && !needsOperator);
  }

  /** Whether it has answered lately. */
  boolean isInContact(long nowNanos) {
    return nowNanos - heardAtNanos <= CONTACT_LOST_NANOS;
  }

  /** Whether its heartbeat has waited for so long that another endpoint is to be asked. */
  boolean isHeartbeatOverdue(long nowNanos) {
    return heartbeat != null && nowNanos - heartbeat.sentAtNanos >= failoverNanos;
  }

  /** Whether its watch brings changes. */
  boolean hasOpenWatch() {
    return watch != null && watch.isOpen;
  }

  /** It has answered, with anything but a failure. */
  void heard(long nowNanos) {
    heardAtNanos = nowNanos;
    needsOperator = false;
    requestBackoff.reset();
  }

  /** It has answered a heartbeat. */
  void heartbeatAnswered(long nowNanos, long latencyNanos) {
    heartbeatAnsweredAtNanos = nowNanos;
    lastLatencyNanos = latencyNanos;
    averageLatencyNanos =
        averageLatencyNanos == 0
            ? lastLatencyNanos
            : (3 * averageLatencyNanos + lastLatencyNanos) / 4;
  }

  /** A heartbeat was not answered in the time that it had. */
  void heartbeatTimedOut(long timeoutNanos) {
    averageLatencyNanos = Math.max(averageLatencyNanos, timeoutNanos);
    lastLatencyNanos = averageLatencyNanos;
  }

  /** Settings were read anew: it may be asked at once. */
  void resetBackoff() {
    needsOperator = false;
    requestBackoff.reset();
    watchBackoff.reset();
  }
}
