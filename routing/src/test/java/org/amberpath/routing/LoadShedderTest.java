package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests event loops that are late in single turns, and ones that are late continuously. */
class LoadShedderTest {
  private static final long MS = 1_000_000;
  private static final long TICK_NANOS = 10 * MS;
  private static final long MAX_RETRY_AFTER_NANOS = 1000 * MS;

  private final LoadShedder loadShedder = new LoadShedder(7, MAX_RETRY_AFTER_NANOS);
  private long now;

  @Test
  void singlePauseRejectsNothing() {
    turn(400 * MS);
    for (int request = 0; request < 500; request++) {
      assertTrue(loadShedder.tryAdmit());
    }
    turn(30 * MS);
    turn(0);
    assertFalse(loadShedder.isShedding());
  }

  @Test
  void separatePausesRejectNothing() {
    for (int at = 0; at < 50; at++) {
      turn(200 * MS);
      turn(0);
    }
    assertFalse(loadShedder.isShedding());
  }

  /**
   * Simulates an event loop that can serve 1,000 requests per second and receives a multiple of
   * that.
   */
  @ParameterizedTest
  @ValueSource(doubles = {1.2, 3, 10})
  void overloadedEventLoopIsSoonOnTimeAndStaysBusy(double overloadFactor) {
    long cost = MS;
    long rejectionCost = cost / 30;
    double dueRequests = 0;
    long lag = 0;
    long answered = 0;
    long worst = 0;
    for (int turn = 0; turn < 3000; turn++) {
      turn(Math.max(0, lag - TICK_NANOS));
      dueRequests += Math.max(TICK_NANOS, lag) * overloadFactor / cost;
      long work = 0;
      for (; dueRequests >= 1; dueRequests--) {
        boolean isAdmitted = loadShedder.tryAdmit();
        answered += isAdmitted && turn >= 200 ? 1 : 0;
        work += isAdmitted ? cost : rejectionCost;
      }
      lag = work;
      worst = turn >= 200 ? Math.max(worst, lag) : worst;
    }
    assertTrue(worst <= 50 * MS, "a turn of " + worst / MS + " ms");
    assertTrue(answered * cost > 0.5 * (now - 200 * TICK_NANOS), answered + " of " + now / cost);
  }

  @Test
  void gatewayWithLittleTrafficRejectsNothingHoweverLateItIs() {
    for (int at = 0; at < 100; at++) {
      turn(200 * MS);
      for (int request = 0; request < 8; request++) {
        assertTrue(loadShedder.tryAdmit());
      }
    }
  }

  @Test
  void allRequestsAreAdmittedAgainAfterTheOverload() {
    for (int turn = 0; turn < 20; turn++) {
      loadShedder.tryAdmit();
      turn(90 * MS);
    }
    assertTrue(loadShedder.isShedding());
    for (int turn = 0; turn < 60; turn++) {
      turn(0);
    }
    assertFalse(loadShedder.isShedding());
  }

  @Test
  void retryAfterIsSpreadOverHalfOfItsMaximum() {
    long first = loadShedder.retryAfterNanos();
    assertTrue(first >= MAX_RETRY_AFTER_NANOS / 2 && first <= MAX_RETRY_AFTER_NANOS);
    assertTrue(first != loadShedder.retryAfterNanos());
    assertEquals(0, new LoadShedder(7, 0).retryAfterNanos());
  }

  private void turn(long lateNanos) {
    now += TICK_NANOS + lateNanos;
    loadShedder.turnStarted(now, lateNanos);
  }
}
