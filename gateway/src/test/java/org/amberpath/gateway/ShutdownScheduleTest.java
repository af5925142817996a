package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that the steps of a shutdown are taken in order and end before SIGKILL, also with short
 * deadlines and a lagging event loop.
 */
class ShutdownScheduleTest {
  private static final long MILLI = 1_000_000;
  private static final long SIGTERM = 5_000_000_000_000L;

  /**
   * Checks the schedule periodically while a request in flight is never answered, and asserts the
   * times of the steps.
   *
   * @param lookMillis the period of the checks
   */
  @ParameterizedTest
  @CsvSource({
    "10, 10",
    "100, 10",
    "100, 35",
    "350, 10",
    "1000, 10",
    "1000, 40",
    "3000, 10",
    "3000, 40"
  })
  void allStepsAreTakenInOrderBeforeSigkill(long deadlineMillis, long lookMillis) {
    long kill = deadlineMillis + 700;
    ShutdownSchedule schedule = new ShutdownSchedule(SIGTERM, deadlineMillis * MILLI);
    long rejected = -1;
    long answered = -1;
    long halfClosed = -1;
    long exited = -1;
    for (long at = 0; exited < 0; at += lookMillis) {
      long now = SIGTERM + at * MILLI;
      assertTrue(
          now + schedule.timeLeft(now) <= SIGTERM + (kill - 139) * MILLI, "time left at " + at);
      rejected = rejected < 0 && schedule.rejects(now) ? at : rejected;
      answered = answered < 0 && schedule.failsInFlight(now) ? at : answered;
      if (halfClosed < 0 && schedule.halfCloses(now, false)) {
        halfClosed = at;
        schedule.halfClosed(now);
      }
      exited = schedule.exits(now, true, false) ? at : exited;
    }
    assertTrue(rejected >= Math.min(750, kill - 350), "rejects from " + rejected);
    assertTrue(rejected < 750 + lookMillis, "rejects from " + rejected);
    assertTrue(
        rejected <= answered && answered <= halfClosed && halfClosed <= exited,
        rejected + " " + answered + " " + halfClosed + " " + exited);
    assertTrue(answered >= kill - 250, "no answer sooner than it has to be: " + answered);
    assertTrue(exited < kill - 170 + lookMillis, "exits at " + exited);
  }

  @Test
  void drainedGatewayHalfClosesOnceRequestsAreRejectedAndExitsAfterTheLinger() {
    ShutdownSchedule schedule = new ShutdownSchedule(0, 3000 * MILLI);
    assertFalse(schedule.halfCloses(740 * MILLI, true));
    assertTrue(schedule.halfCloses(750 * MILLI, true));
    assertFalse(schedule.exits(750 * MILLI, true, true), "not half-closed yet");
    schedule.halfClosed(750 * MILLI);
    assertTrue(schedule.exits(751 * MILLI, true, true), "no connection is left");
    assertFalse(schedule.exits(1000 * MILLI, true, false), "clients still read");
    assertTrue(schedule.exits(1100 * MILLI, true, false));
    assertFalse(schedule.exits(1100 * MILLI, false, false), "an answer is not written yet");
    assertTrue(schedule.exits(3600 * MILLI, false, false));
  }

  @Test
  void allStepsAreTakenAtOnceAfterLagPastAllOfThem() {
    ShutdownSchedule schedule = new ShutdownSchedule(0, 100 * MILLI);
    long late = 900 * MILLI;
    assertTrue(
        schedule.rejects(late)
            && schedule.failsInFlight(late)
            && schedule.halfCloses(late, false)
            && schedule.exits(late, false, false));
    assertEquals(MILLI, schedule.timeLeft(late));
  }
}
