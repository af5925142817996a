package org.amberpath.leadership;

import java.util.Set;
import java.util.TreeSet;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;

/**
 * The state of one endpoint that the leader health-checks: the gateways that requested the checks,
 * and the results.
 */
final class EndpointHealthCheck {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Pause between two checks of an endpoint that responds. */
  private static final long RESPONSIVE_PAUSE_NANOS = 500 * NANOS_PER_MILLI;

  /** How long a response that another gateway received overrides the leader's unanswered checks. */
  private static final long PEER_RESPONSE_VALIDITY_NANOS = 30_000 * NANOS_PER_MILLI;

  /** Number of gateways that must suspect an endpoint before its silence is broadcast. */
  private static final int MIN_REQUESTERS = 2;

  /** Number of consecutive unanswered checks before an endpoint's silence is broadcast. */
  private static final int MIN_SILENT_CHECKS = 2;

  /** The first gateways that requested checks, at most {@value #MIN_REQUESTERS}. */
  private final Set<String> requesters = new TreeSet<>();

  private long requestedAtNanos;
  private long nextCheckNanos;
  private long pauseNanos = HealthCheckIntervals.INITIAL_PAUSE_NANOS;
  private long peerResponseValidUntilNanos;

  /** When the check in flight, if any, was started. */
  private long checkStartedNanos;

  /** When the last result arrived, of an own check or from another gateway; 0 for none. */
  private long lastResultNanos;

  /** When the last completed check was started. */
  private long lastCheckStartedNanos;

  private int silentChecks;
  private boolean inFlight;
  private boolean responded;

  /** Whether the endpoint has met the criteria for a broadcast of its silence at any time. */
  private boolean silenceBroadcast;

  void requestReceived(long nowNanos, String requester) {
    requestedAtNanos = nowNanos;
    if (requesters.size() < MIN_REQUESTERS) {
      requesters.add(requester);
    }
  }

  long requestAgeNanos(long nowNanos) {
    return nowNanos - requestedAtNanos;
  }

  boolean isInFlight() {
    return inFlight;
  }

  boolean isDue(long nowNanos) {
    return !inFlight && nowNanos >= nextCheckNanos;
  }

  void checkStarted(long nowNanos) {
    inFlight = true;
    checkStartedNanos = nowNanos;
  }

  /**
   * Records the outcome of the check in flight. Returns whether the next broadcast is due at once:
   * the result has changed, or a second check has confirmed the silence.
   */
  boolean checkEnded(long nowNanos, HealthCheckOutcome outcome, long maxPauseNanos) {
    inFlight = false;
    if (outcome == HealthCheckOutcome.NOT_SENT) {
      nextCheckNanos = nowNanos + HealthCheckIntervals.INITIAL_PAUSE_NANOS;
      return false;
    }
    if (outcome == HealthCheckOutcome.SILENT && nowNanos < peerResponseValidUntilNanos) {
      nextCheckNanos = nowNanos + maxPauseNanos;
      return false;
    }
    boolean respondedNow = outcome == HealthCheckOutcome.ANSWERED;
    boolean changed = responded != respondedNow && lastResultNanos > 0;
    responded = respondedNow;
    lastResultNanos = nowNanos;
    lastCheckStartedNanos = checkStartedNanos;
    if (responded) {
      silentChecks = 0;
      pauseNanos = HealthCheckIntervals.INITIAL_PAUSE_NANOS;
      nextCheckNanos = nowNanos + RESPONSIVE_PAUSE_NANOS;
    } else {
      silentChecks++;
      pauseNanos = Math.min(maxPauseNanos, 2 * pauseNanos);
      nextCheckNanos = nowNanos + (silentChecks < MIN_SILENT_CHECKS ? 0 : pauseNanos);
    }
    return changed || silentChecks == MIN_SILENT_CHECKS;
  }

  /**
   * Records that another gateway received a response from the endpoint. Returns whether that
   * changes the result: the endpoint was not known to respond.
   */
  boolean peerReceivedResponse(long nowNanos) {
    boolean changed = !responded;
    peerResponseValidUntilNanos = nowNanos + PEER_RESPONSE_VALIDITY_NANOS;
    responded = true;
    lastResultNanos = nowNanos;
    silentChecks = 0;
    return changed;
  }

  /**
   * Returns the last result. Silence is dated from when the check was sent, because a response that
   * another gateway received since then contradicts it.
   */
  HealthReport report(long nowNanos) {
    if (lastResultNanos == 0) {
      return new HealthReport(responded, -1);
    }
    return new HealthReport(
        responded, nowNanos - (responded ? lastResultNanos : lastCheckStartedNanos));
  }

  /**
   * Returns whether broadcasts include the endpoint: it is silent, or was, and its recovery is to
   * be broadcast too.
   */
  boolean isBroadcast() {
    silenceBroadcast |= silentChecks >= MIN_SILENT_CHECKS && requesters.size() >= MIN_REQUESTERS;
    return silenceBroadcast;
  }
}
