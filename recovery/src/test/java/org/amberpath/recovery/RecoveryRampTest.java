package org.amberpath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.amberpath.recovery.RecoveryRamp.Phase;
import org.junit.jupiter.api.Test;

/** Stories of one start, with viewers that ask a hundred times a second. */
class RecoveryRampTest {
  private static final long MS = 1_000_000, SECOND = 1000 * MS;
  private long now = SECOND;
  private final RecoveryRamp opening = new RecoveryRamp(7, SECOND, now);

  /** Lets time pass; of those let in, each so many-th comes back. Answers how many were let in. */
  private int pass(long ms, int askedASecond, int oneBackOf, boolean halfway) {
    int taken = 0;
    long next = now;
    for (long end = now + ms * MS; now < end; now += MS) {
      opening.tick(now);
      while (next <= now) {
        next += SECOND / askedASecond;
        if (opening.tryAdmit(now, halfway)) {
          taken++;
          if (oneBackOf > 0 && taken % oneBackOf == 0) {
            opening.requestSucceeded();
          }
        }
      }
    }
    return taken;
  }

  @Test
  void whileNothingIsKnownAllAreTurnedAwayAndNotForLongerThanABound() {
    assertEquals(0, pass(2900, 100, 1, true));
    assertEquals(Phase.LEARNING, opening.phase());
    pass(200, 100, 1, true);
    assertEquals(Phase.TRICKLE, opening.phase(), "nobody waits for who never answers");
  }

  @Test
  void oneThatComesBackAmongOthersThatRanOnOpensAtOnce() {
    opening.startupCompleted(now, false, 3);
    assertEquals(Phase.SERVING, opening.phase());
    assertEquals(100, pass(1000, 100, 1, false));
  }

  @Test
  void whatIsLetInGrowsWithWhatComesBackUntilNothingIsTurnedAway() {
    opening.startupCompleted(now, true, 10);
    int first = pass(500, 100, 1, false);
    assertTrue(first >= 4 && first <= 10, first + " in the first half second");
    pass(500, 100, 1, false);
    assertEquals(Phase.RAMP, opening.phase());
    pass(6000, 100, 1, false);
    assertEquals(100, pass(1000, 100, 1, false));
    pass(3000, 100, 1, false);
    assertEquals(Phase.SERVING, opening.phase());
    assertTrue(opening.servingSinceNanos() > 0);
  }

  @Test
  void whatDoesNotComeBackIsLetInNoMore() {
    opening.startupCompleted(now, true, 10);
    pass(3000, 100, 1, false);
    double before = opening.rate();
    pass(2000, 100, 4, false);
    assertTrue(opening.rate() < before / 2, before + " -> " + opening.rate());
    pass(3000, 100, 0, false);
    assertEquals(10, opening.rate(), "but never less than its part of the cold budgets");
    assertEquals(Phase.RAMP, opening.phase());
  }

  @Test
  void aPhaseIsNeverEnteredAgain() {
    opening.startupCompleted(now, true, 10);
    pass(20_000, 5, 1, false);
    assertEquals(Phase.SERVING, opening.phase());
    opening.startupCompleted(now, true, 1);
    assertEquals(Phase.SERVING, opening.phase());
  }

  @Test
  void viewingsThatAreHalfwayComeFirstAndAreToldANearerTime() {
    opening.startupCompleted(now, true, 40);
    int halfway = 0, fresh = 0;
    for (int one = 0; one < 4000; one++, now += MS) {
      opening.tick(now);
      fresh += opening.tryAdmit(now, false) ? 1 : 0;
      halfway += opening.tryAdmit(now, true) ? 1 : 0;
    }
    assertTrue(halfway > 20 * fresh, halfway + " and " + fresh);
    long sum = 0, near = 0;
    for (int one = 0; one < 100; one++) {
      long away = opening.retryAfterNanos(false);
      assertTrue(away >= 50 * MS && away <= SECOND, away + "");
      sum += away;
      near += opening.retryAfterNanos(true);
    }
    assertTrue(near < 0.6 * sum);
    assertFalse(new RecoveryRamp(7, 0, now).retryAfterNanos(false) > 0, "where they can't be told");
  }
}
