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
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long SIGTERM_AT_NANOS = 5_000_000_000_000L;

  /**
   * Checks the schedule periodically while a request in flight is never answered, and asserts the
   * times of the steps.
   *
   * @param checkIntervalMillis the period of the checks
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
  void allStepsAreTakenInOrderBeforeSigkill(long deadlineMillis, long checkIntervalMillis) {
    long killMillis = deadlineMillis + 700;
    ShutdownSchedule schedule =
        new ShutdownSchedule(SIGTERM_AT_NANOS, deadlineMillis * NANOS_PER_MILLI);
    long rejected = -1;
    long failed = -1;
    long halfClosed = -1;
    long exited = -1;
    for (long elapsedMillis = 0; exited < 0; elapsedMillis += checkIntervalMillis) {
      long now = SIGTERM_AT_NANOS + elapsedMillis * NANOS_PER_MILLI;
      assertTrue(
          now + schedule.timeLeftNanos(now)
              <= SIGTERM_AT_NANOS + (killMillis - 139) * NANOS_PER_MILLI,
          "waits past its limit at " + elapsedMillis + " ms");
      rejected = rejected < 0 && schedule.rejects(now) ? elapsedMillis : rejected;
      failed = failed < 0 && schedule.failsInFlight(now) ? elapsedMillis : failed;
      if (halfClosed < 0 && schedule.halfCloses(now, false)) {
        halfClosed = elapsedMillis;
        schedule.halfClosed(now);
      }
      exited = schedule.exits(now, true, false) ? elapsedMillis : exited;
    }
    assertTrue(rejected >= Math.min(750, killMillis - 350), "rejects from " + rejected);
    assertTrue(rejected < 750 + checkIntervalMillis, "rejects from " + rejected);
    assertTrue(
        rejected <= failed && failed <= halfClosed && halfClosed <= exited,
        rejected + " " + failed + " " + halfClosed + " " + exited);
    assertTrue(failed >= killMillis - 250, "fails requests in flight too early, at " + failed);
    assertTrue(exited < killMillis - 170 + checkIntervalMillis, "exits at " + exited);
  }

  @Test
  void drainedGatewayHalfClosesOnceRequestsAreRejectedAndExitsAfterTheLinger() {
    ShutdownSchedule schedule = new ShutdownSchedule(0, 3000 * NANOS_PER_MILLI);
    assertFalse(schedule.halfCloses(740 * NANOS_PER_MILLI, true));
    assertTrue(schedule.halfCloses(750 * NANOS_PER_MILLI, true));
    assertFalse(
        schedule.exits(750 * NANOS_PER_MILLI, true, true), "connections are not half-closed yet");
    schedule.halfClosed(750 * NANOS_PER_MILLI);
    assertTrue(schedule.exits(751 * NANOS_PER_MILLI, true, true), "no client connection is left");
    assertFalse(schedule.exits(1000 * NANOS_PER_MILLI, true, false), "clients still read");
    assertTrue(schedule.exits(1100 * NANOS_PER_MILLI, true, false));
    assertFalse(
        schedule.exits(1100 * NANOS_PER_MILLI, false, false), "a response is not written yet");
    assertTrue(schedule.exits(3600 * NANOS_PER_MILLI, false, false));
  }

  @Test
  void allStepsAreDueAfterALagPastTheEnd() {
    ShutdownSchedule schedule = new ShutdownSchedule(0, 100 * NANOS_PER_MILLI);
    long lateNanos = 900 * NANOS_PER_MILLI;
    assertTrue(
        schedule.rejects(lateNanos)
            && schedule.failsInFlight(lateNanos)
            && schedule.halfCloses(lateNanos, false)
            && schedule.exits(lateNanos, false, false));
    assertEquals(NANOS_PER_MILLI, schedule.timeLeftNanos(lateNanos));
  }
}
