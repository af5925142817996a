package org.amberpath.registry;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Heartbeats: each {@link #PERIOD_NANOS} one linearizable read of the tip, the key that every write
 * touches. Its answer shows whether the view is current, so that watches which are open but silent
 * are found out; who does not answer is passed over for the next endpoint. Times are nanoseconds.
 *
 * <p>Bounds: one heartbeat an endpoint, two sent at a time.
 */
final class HeartbeatMonitor {
  private static final long MS = 1_000_000;

  /** How often a heartbeat is sent; twice as often while no watch is open. */
  static final long PERIOD_NANOS = 100 * MS;

  private static final long TIMEOUT_NANOS = 400 * MS;

  /** Each so many heartbeats a random endpoint is asked, so that a quick one is found. */
  private static final int EXPLORATION_INTERVAL = 10;

  private final RegistryEndpointSelector endpoints;
  private final OpenCalls calls;
  private final WatchCommands commands;
  private final SplittableRandom random;
  private long nextAtNanos;
  private long lastSentAtNanos;
  private long answeredAtNanos;
  private int periods;

  /** Heartbeats that failed with an answer in this period, and how many of them were replaced. */
  private int refusals;

  private int replacedRefusals;
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
    nextAtNanos = nowNanos + random.nextLong(PERIOD_NANOS);
  }

  /** Has the next heartbeat sent as soon as time passes. */
  void sendAtOnce(long nowNanos) {
    nextAtNanos = nowNanos;
  }

  /** When {@link #sendDue} has something to do next, after it was called at the given time. */
  long due(long tickedAtNanos) {
    long failoverAtNanos = lastSentAtNanos + endpoints.failoverNanos();
    return isUnanswered() && failoverAtNanos > tickedAtNanos
        ? Math.min(nextAtNanos, failoverAtNanos)
        : nextAtNanos;
  }

  private boolean isUnanswered() {
    return lastSentAtNanos > answeredAtNanos;
  }

  /** Sends the heartbeats that are due. */
  void sendDue(long nowNanos) {
    boolean isDue = nowNanos >= nextAtNanos;
    boolean failsOver = isUnanswered() && nowNanos >= lastSentAtNanos + endpoints.failoverNanos();
    // Guards the time until a drain is known: a refusal is no reason to wait for the next period.
    boolean replaces = refusals > replacedRefusals && refusals < endpoints.count();
    if (isDue) {
      refusals = 0;
      replacedRefusals = 0;
      nextAtNanos = nowNanos + (endpoints.openWatchCount() == 0 ? PERIOD_NANOS / 2 : PERIOD_NANOS);
    }
    if (!isDue && !failsOver && !replaces) {
      return;
    }
    List<RegistryEndpoint> ready = endpoints.ready(nowNanos);
    ready.removeIf(endpoint -> endpoint.heartbeat != null);
    if (ready.isEmpty()) {
      return;
    }
    replacedRefusals = refusals;
    RegistryEndpoint first =
        isDue && ++periods % EXPLORATION_INTERVAL == 0
            ? ready.get(random.nextInt(ready.size()))
            : ready.get(0);
    send(nowNanos, first);
    ready.remove(first);
    boolean isContactUnsure =
        endpoints.openWatchCount() == 0 || endpoints.anyHeartbeatOverdue(nowNanos);
    if (isContactUnsure && !ready.isEmpty()) {
      send(nowNanos, ready.get(0));
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

  /** A heartbeat was answered. */
  void answered(long nowNanos, HeartbeatCall call) {
    answeredAtNanos = nowNanos;
    call.endpoint.heartbeatAnswered(nowNanos, nowNanos - call.sentAtNanos);
  }

  /** A heartbeat ended without an answer. */
  void failed(HeartbeatCall call, RegistryFailure why) {
    if (why == RegistryFailure.TIMED_OUT) {
      call.endpoint.heartbeatTimedOut(TIMEOUT_NANOS);
    } else {
      refusals++;
    }
  }

  /** When the last heartbeat was answered. */
  long answeredAtNanos() {
    return answeredAtNanos;
  }

  /** A heartbeat showed the revision at which the tip was written. */
  void tipReported(long nowNanos, long revision) {
    if (revision > newestTipRevision) {
      newestTipRevision = revision;
      newestTipAtNanos = nowNanos;
    }
  }

  /** Revisions were given anew: what was reported says nothing any more. */
  void forgetTip() {
    newestTipRevision = 0;
  }

  /** The newest revision of the tip that a heartbeat showed. */
  long newestTipRevision() {
    return newestTipRevision;
  }

  /** When a heartbeat first showed it. */
  long newestTipAtNanos() {
    return newestTipAtNanos;
  }
}
