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
  private long nowNanos;

  @Test
  void singlePauseCausesNoRejection() {
    startTurn(400 * MS);
    for (int request = 0; request < 500; request++) {
      assertTrue(loadShedder.tryAdmit());
    }
    startTurn(30 * MS);
    startTurn(0);
    assertFalse(loadShedder.isShedding());
  }

  @Test
  void separatePausesCauseNoRejection() {
    for (int pause = 0; pause < 50; pause++) {
      startTurn(200 * MS);
      startTurn(0);
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
    long requestNanos = MS;
    long rejectionNanos = requestNanos / 30;
    double dueRequests = 0;
    long turnNanos = 0;
    long admittedCount = 0;
    long longestTurnNanos = 0;
    for (int turn = 0; turn < 3000; turn++) {
      startTurn(Math.max(0, turnNanos - TICK_NANOS));
      dueRequests += Math.max(TICK_NANOS, turnNanos) * overloadFactor / requestNanos;
      long workNanos = 0;
      for (; dueRequests >= 1; dueRequests--) {
        boolean isAdmitted = loadShedder.tryAdmit();
        admittedCount += isAdmitted && turn >= 200 ? 1 : 0;
        workNanos += isAdmitted ? requestNanos : rejectionNanos;
      }
      turnNanos = workNanos;
      longestTurnNanos = turn >= 200 ? Math.max(longestTurnNanos, turnNanos) : longestTurnNanos;
    }
    assertTrue(longestTurnNanos <= 50 * MS, "a turn of " + longestTurnNanos / MS + " ms");
    assertTrue(
        admittedCount * requestNanos > 0.5 * (nowNanos - 200 * TICK_NANOS),
        "admitted " + admittedCount + ", time for " + nowNanos / requestNanos);
  }

  @Test
  void gatewayWithLittleTrafficRejectsNoRequestHoweverLateItIs() {
    for (int turn = 0; turn < 100; turn++) {
      startTurn(200 * MS);
      for (int request = 0; request < 8; request++) {
        assertTrue(loadShedder.tryAdmit());
      }
    }
  }

  @Test
  void allRequestsAreAdmittedAgainAfterTheOverload() {
    for (int turn = 0; turn < 20; turn++) {
      loadShedder.tryAdmit();
      startTurn(90 * MS);
    }
    assertTrue(loadShedder.isShedding());
    for (int turn = 0; turn < 60; turn++) {
      startTurn(0);
    }
    assertFalse(loadShedder.isShedding());
  }

  @Test
  void retryAfterIsSpreadOverTheUpperHalfOfItsMaximum() {
    long first = loadShedder.retryAfterNanos();
    assertTrue(first >= MAX_RETRY_AFTER_NANOS / 2 && first <= MAX_RETRY_AFTER_NANOS);
    assertTrue(first != loadShedder.retryAfterNanos());
    assertEquals(0, new LoadShedder(7, 0).retryAfterNanos());
  }

  private void startTurn(long lateNanos) {
    nowNanos += TICK_NANOS + lateNanos;
    loadShedder.turnStarted(nowNanos, lateNanos);
  }
}
