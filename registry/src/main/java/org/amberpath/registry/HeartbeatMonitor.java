package org.amberpath.registry;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends heartbeats and tracks their responses. A heartbeat is a linearizable read of the tip, the
 * key that every write touches, sent once per {@link #PERIOD_NANOS}. The response shows whether the
 * view is current, so a watch that is open but delivers nothing is detected. When a response is
 * overdue, the next heartbeat goes to another endpoint without waiting for the period. Times are
 * nanoseconds.
 *
 * <p>Bounds: one open heartbeat per endpoint; at most two sent at a time.
 */
final class HeartbeatMonitor {
  private static final long MS = 1_000_000;

  /** Interval between heartbeats; half of it while no watch is open. */
  static final long PERIOD_NANOS = 100 * MS;

  private static final long TIMEOUT_NANOS = 400 * MS;

  /**
   * Every this many periods the heartbeat goes to a random endpoint, so that one that has become
   * fast is found.
   */
  private static final int EXPLORATION_INTERVAL = 10;

  private final RegistryEndpointSelector endpoints;
  private final OpenCalls calls;
  private final WatchCommands commands;
  private final SplittableRandom random;
  private long nextPeriodAtNanos;
  private long lastSentAtNanos;
  private long answeredAtNanos;
  private int periodCount;

  /** Heartbeats of this period that failed other than by a timeout. */
  private int failuresInPeriod;

  /** How many of those another heartbeat has already followed. */
  private int replacedFailures;

  private long newestTipRevision;
  private long newestTipAtNanos;

  HeartbeatMonitor(
      RegistryEndpointSelector endpoints,
      OpenCalls calls,
      WatchCommands commands,
      SplittableRandom random) {
    this.endpoints = endpoints;
    this.calls = calls;
    this.commands = commands;
    this.random = random;
  }

  void start(long nowNanos) {
    answeredAtNanos = nowNanos;
    nextPeriodAtNanos = nowNanos + random.nextLong(PERIOD_NANOS);
  }

  /** Makes the next heartbeat due at the given time; the session's next tick sends it. */
  void sendAtOnce(long nowNanos) {
    nextPeriodAtNanos = nowNanos;
  }

  /**
   * Returns when {@link #sendDue} is next due: at the end of the period or, while a heartbeat is
   * unanswered, at the earlier failover time.
   *
   * @param lastTickNanos when {@link #sendDue} last ran
   */
  long nextDueNanos(long lastTickNanos) {
    long failoverAtNanos = lastSentAtNanos + endpoints.failoverNanos();
    return isUnanswered() && failoverAtNanos > lastTickNanos
        ? Math.min(nextPeriodAtNanos, failoverAtNanos)
        : nextPeriodAtNanos;
  }

  private boolean isUnanswered() {
    return lastSentAtNanos > answeredAtNanos;
  }

  /**
   * Sends a heartbeat if the period has ended, if the last one is overdue, or if one failed. Sends
   * a second one, to another endpoint, while no watch is open or any heartbeat is overdue.
   */
  void sendDue(long nowNanos) {
    boolean isPeriodOver = nowNanos >= nextPeriodAtNanos;
    boolean failsOver = isUnanswered() && nowNanos >= lastSentAtNanos + endpoints.failoverNanos();
    // Guards against a drain that is noticed late: after a failed heartbeat, another endpoint is
    // asked at once and not only in the next period.
    boolean replacesFailed =
        failuresInPeriod > replacedFailures && failuresInPeriod < endpoints.count();
    if (isPeriodOver) {
      failuresInPeriod = 0;
      replacedFailures = 0;
      nextPeriodAtNanos =
          nowNanos + (endpoints.openWatchCount() == 0 ? PERIOD_NANOS / 2 : PERIOD_NANOS);
    }
    if (!isPeriodOver && !failsOver && !replacesFailed) {
      return;
    }
    List<RegistryEndpoint> candidates = endpoints.available(nowNanos);
    candidates.removeIf(endpoint -> endpoint.heartbeat != null);
    if (candidates.isEmpty()) {
      return;
    }
    replacedFailures = failuresInPeriod;
    RegistryEndpoint first =
        isPeriodOver && ++periodCount % EXPLORATION_INTERVAL == 0
            ? candidates.get(random.nextInt(candidates.size()))
            : candidates.get(0);
    send(nowNanos, first);
    candidates.remove(first);
    boolean sendsSecond =
        endpoints.openWatchCount() == 0 || endpoints.anyHeartbeatOverdue(nowNanos);
    if (sendsSecond && !candidates.isEmpty()) {
      send(nowNanos, candidates.get(0));
    }
  }

  private void send(long nowNanos, RegistryEndpoint endpoint) {
    calls
        .open(
            nowNanos,
            endpoint,
            OpenCalls.Connection.SHARED,
            start -> new HeartbeatCall(start, TIMEOUT_NANOS))
        .ifPresent(
            call -> {
              lastSentAtNanos = nowNanos;
              commands.heartbeat(call.id, endpoint.index);
            });
  }

  /** Records the response to a heartbeat and its latency. */
  void recordAnswer(long nowNanos, HeartbeatCall call) {
    answeredAtNanos = nowNanos;
    call.endpoint.recordHeartbeatAnswer(nowNanos, nowNanos - call.sentAtNanos);
  }

  /** Records a heartbeat that timed out or failed. */
  void recordFailure(HeartbeatCall call, RegistryFailure failure) {
    if (failure == RegistryFailure.TIMED_OUT) {
      call.endpoint.recordHeartbeatTimeout(TIMEOUT_NANOS);
    } else {
      failuresInPeriod++;
    }
  }

  /** When the last response to a heartbeat was received. */
  long answeredAtNanos() {
    return answeredAtNanos;
  }

  /**
   * Records the tip's revision in a heartbeat's response, if it is newer than those reported
   * before.
   */
  void recordTip(long nowNanos, long revision) {
    if (revision > newestTipRevision) {
      newestTipRevision = revision;
      newestTipAtNanos = nowNanos;
    }
  }

  /** Discards the reported tip revision, which says nothing in a new history of revisions. */
  void forgetTip() {
    newestTipRevision = 0;
  }

  /** The newest tip revision that a heartbeat has reported; 0 for none. */
  long newestTipRevision() {
    return newestTipRevision;
  }

  /** When a heartbeat first reported {@link #newestTipRevision}. */
  long newestTipAtNanos() {
    return newestTipAtNanos;
  }
}
