package org.amberpath.leadership;

import java.util.Set;
import java.util.TreeSet;
import org.amberpath.leadership.HealthCheckCoordinator.HealthCheckOutcome;
import org.amberpath.leadership.HealthCheckCoordinator.HealthReport;

/** One endpoint that the leader checks: who asked for it, and what came of the checks. */
final class EndpointHealthCheck {
  private static final long MS = 1_000_000;

  /** Between two checks of an endpoint that responds. */
  private static final long RESPONSIVE_PAUSE_NANOS = 500 * MS;

  /** For how long a gateway's response outweighs the leader's own checks without one. */
  private static final long RESPONSE_ELSEWHERE_NANOS = 30_000 * MS;

  /** So many gateways must suspect an endpoint, */
  private static final int MIN_REQUESTERS = 2;

  /** and so many checks in a row get no response, before all gateways are told. */
  private static final int MIN_SILENT_CHECKS = 2;

  /** The first gateways that asked; {@value #MIN_REQUESTERS} are enough to know. */
  private final Set<String> requesters = new TreeSet<>();

  private long requestedAtNanos;
  private long nextCheckNanos;
  private long pauseNanos = HealthCheckPauses.FIRST_PAUSE_NANOS;
  private long respondedElsewhereUntilNanos;

  /** When the check in flight, if any, was sent. */
  private long sentAtNanos;

  /** When the last check that has ended did, and was sent. */
  private long lastEndedNanos;

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

  /** Takes the outcome of the check in flight; true where all gateways are to learn of it. */
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

  /** Another gateway has a response from it; true where the leader's checks said otherwise. */
  boolean respondedElsewhere(long nowNanos) {
    boolean changed = !responded;
    respondedElsewhereUntilNanos = nowNanos + RESPONSE_ELSEWHERE_NANOS;
    responded = true;
    lastEndedNanos = nowNanos;
    silentChecks = 0;
    return changed;
  }

  /** Silence is as old as its request: a response elsewhere since then contradicts it. */
  HealthReport report(long nowNanos) {
    if (lastEndedNanos == 0) {
      return new HealthReport(responded, -1);
    }
    return new HealthReport(responded, nowNanos - (responded ? lastEndedNanos : lastSentNanos));
  }

  /** Whether all gateways are to know: it is silent, or was reported so and responds again. */
  boolean isForAll() {
    reportedSilent |= silentChecks >= MIN_SILENT_CHECKS && requesters.size() >= MIN_REQUESTERS;
    return reportedSilent;
  }
}
