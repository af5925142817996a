package org.amberpath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.recovery.RecoveryRamp.Phase;
import org.junit.jupiter.api.Test;

/** Admitted rate, phases and retry times during one start of a gateway. */
class RecoveryRampTest {
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private long now = SECOND;
  private final RecoveryRamp ramp = new RecoveryRamp(7, SECOND, now);

  /**
   * Advances the clock under a constant request rate. Of the admitted requests each {@code
   * succeedsEach}-th succeeds, none if 0. Returns how many were admitted.
   */
  private int advance(
      long millis, int requestsPerSecond, int successInterval, boolean continuesSession) {
    int admitted = 0;
    long next = now;
    for (long end = now + millis * MS; now < end; now += MS) {
      ramp.tick(now);
      while (next <= now) {
        next += SECOND / requestsPerSecond;
        if (ramp.tryAdmit(now, continuesSession)) {
          admitted++;
          if (successInterval > 0 && admitted % successInterval == 0) {
            ramp.requestSucceeded();
          }
        }
      }
    }
    return admitted;
  }

  @Test
  void allRequestsAreRejectedWhileStartingForABoundedTime() {
    assertEquals(0, advance(2900, 100, 1, true));
    assertEquals(Phase.LEARNING, ramp.phase());
    advance(200, 100, 1, true);
    assertEquals(
        Phase.INITIAL_RATE,
        ramp.phase(),
        "learning ends after 3 s without an answer of the sources");
  }

  @Test
  void gatewayThatRestartsAmongRunningOnesServesAtOnce() {
    ramp.startupCompleted(now, false, 3);
    assertEquals(Phase.SERVING, ramp.phase());
    assertEquals(100, advance(1000, 100, 1, false));
  }

  @Test
  void admittedRateGrowsWithSuccessesUntilNothingIsRejected() {
    ramp.startupCompleted(now, true, 10);
    int admittedFirst = advance(500, 100, 1, false);
    assertTrue(
        admittedFirst >= 4 && admittedFirst <= 10, admittedFirst + " in the first half second");
    advance(500, 100, 1, false);
    assertEquals(Phase.RAMP_UP, ramp.phase());
    advance(6000, 100, 1, false);
    assertEquals(100, advance(1000, 100, 1, false));
    advance(3000, 100, 1, false);
    assertEquals(Phase.SERVING, ramp.phase());
    assertTrue(ramp.servingSinceNanos() > 0);
  }

  @Test
  void admittedRateFallsWithFailuresToTheInitialRate() {
    ramp.startupCompleted(now, true, 10);
    advance(3000, 100, 1, false);
    double before = ramp.rate();
    advance(2000, 100, 4, false);
    assertTrue(ramp.rate() < before / 2, before + " -> " + ramp.rate());
    advance(3000, 100, 0, false);
    assertEquals(
        10, ramp.rate(), "the rate does not fall below the share of the slow-start budgets");
    assertEquals(Phase.RAMP_UP, ramp.phase());
  }

  @Test
  void noPhaseIsEnteredTwice() {
    ramp.startupCompleted(now, true, 10);
    advance(20_000, 5, 1, false);
    assertEquals(Phase.SERVING, ramp.phase());
    ramp.startupCompleted(now, true, 1);
    assertEquals(Phase.SERVING, ramp.phase());
  }

  @Test
  void continuedSessionsAreAdmittedFirstAndRetrySooner() {
    ramp.startupCompleted(now, true, 40);
    int continuedSessions = 0;
    int newSessions = 0;
    for (int request = 0; request < 4000; request++, now += MS) {
      ramp.tick(now);
      newSessions += ramp.tryAdmit(now, false) ? 1 : 0;
      continuedSessions += ramp.tryAdmit(now, true) ? 1 : 0;
    }
    assertTrue(continuedSessions > 20 * newSessions, continuedSessions + " and " + newSessions);
    long sum = 0;
    long continuedSum = 0;
    for (int client = 0; client < 100; client++) {
      long retryAfter = ramp.retryAfterNanos(false);
      assertTrue(retryAfter >= 50 * MS && retryAfter <= SECOND, retryAfter + "");
      sum += retryAfter;
      continuedSum += ramp.retryAfterNanos(true);
    }
    assertTrue(continuedSum < 0.6 * sum);
    assertFalse(
        new RecoveryRamp(7, 0, now).retryAfterNanos(false) > 0,
        "0 if clients cannot be told when to retry");
  }
}
