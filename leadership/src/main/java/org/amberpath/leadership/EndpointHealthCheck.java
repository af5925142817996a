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
  private static final long MS = 1_000_000;

  /** Pause between two checks of an endpoint that responds. */
  private static final long RESPONSIVE_PAUSE_NANOS = 500 * MS;

  /** How long a response that another gateway received overrides the leader's unanswered checks. */
  private static final long RESPONSE_ELSEWHERE_NANOS = 30_000 * MS;

  /** Number of gateways that must suspect an endpoint before its silence is broadcast. */
  private static final int MIN_REQUESTERS = 2;

  /** Number of consecutive unanswered checks before an endpoint's silence is broadcast. */
  private static final int MIN_SILENT_CHECKS = 2;

  /** The first gateways that requested checks, at most {@value #MIN_REQUESTERS}. */
  private final Set<String> requesters = new TreeSet<>();

  private long requestedAtNanos;
  private long nextCheckNanos;
  private long pauseNanos = HealthCheckPauses.FIRST_PAUSE_NANOS;
  private long respondedElsewhereUntilNanos;

  /** When the check in flight, if any, was started. */
  private long sentAtNanos;

  /** When the last result arrived, of an own check or from another gateway; 0 for none. */
  private long lastEndedNanos;

  /** When the last completed check was started. */
  private long lastSentNanos;

  private int silentChecks;
  private boolean inFlight;
  private boolean responded;
  private boolean reportedSilent;

  void requested(long nowNanos, String requester) {
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

  void started(long nowNanos) {
    inFlight = true;
    sentAtNanos = nowNanos;
  }

  /**
   * Records the outcome of the check in flight. Returns whether the next broadcast is to start at
   * once.
   */
  boolean ended(long nowNanos, HealthCheckOutcome outcome, long maxPauseNanos) {
    inFlight = false;
    if (outcome == HealthCheckOutcome.NOT_SENT) {
      nextCheckNanos = nowNanos + HealthCheckPauses.FIRST_PAUSE_NANOS;
      return false;
    }
    if (outcome == HealthCheckOutcome.SILENT && nowNanos < respondedElsewhereUntilNanos) {
      nextCheckNanos = nowNanos + maxPauseNanos;
      return false;
    }
    boolean respondedNow = outcome == HealthCheckOutcome.ANSWERED;
    boolean changed = responded != respondedNow && lastEndedNanos > 0;
    responded = respondedNow;
    lastEndedNanos = nowNanos;
    lastSentNanos = sentAtNanos;
    if (responded) {
      silentChecks = 0;
      pauseNanos = HealthCheckPauses.FIRST_PAUSE_NANOS;
      nextCheckNanos = nowNanos + RESPONSIVE_PAUSE_NANOS;
    } else {
      silentChecks++;
      pauseNanos = Math.min(maxPauseNanos, 2 * pauseNanos);
      nextCheckNanos = nowNanos + (silentChecks < MIN_SILENT_CHECKS ? 0 : pauseNanos);
    }
    return changed || silentChecks == MIN_SILENT_CHECKS;
  }

  /**
   * Records that another gateway received a response from the endpoint. Returns whether the
   * endpoint was not known to respond.
   */
  boolean respondedElsewhere(long nowNanos) {
    boolean changed = !responded;
    respondedElsewhereUntilNanos = nowNanos + RESPONSE_ELSEWHERE_NANOS;
    responded = true;
    lastEndedNanos = nowNanos;
    silentChecks = 0;
    return changed;
  }

  /**
   * Returns the last result. Silence is dated from when the check was sent, because a response that
   * another gateway received since then contradicts it.
   */
  HealthReport report(long nowNanos) {
    if (lastEndedNanos == 0) {
      return new HealthReport(responded, -1);
    }
    return new HealthReport(responded, nowNanos - (responded ? lastEndedNanos : lastSentNanos));
  }

  /**
   * Returns whether broadcasts include the endpoint: it is silent, or was, and its recovery is to
   * be broadcast too.
   */
  boolean isForAll() {
    reportedSilent |= silentChecks >= MIN_SILENT_CHECKS && requesters.size() >= MIN_REQUESTERS;
    return reportedSilent;
  }
}
