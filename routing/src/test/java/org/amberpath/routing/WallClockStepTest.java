package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the estimated ages of events while this gateway's wall clock, or the clock that stamps the
 * events, steps. Times are milliseconds.
 */
class WallClockStepTest {
  private static final long MS = 1_000_000L;
  private static final long EPOCH = 1_764_576_000_000L;
  private static final long SLACK = 200;
  private long passed;

  /** How far this gateway's wall clock is ahead of the true time; negative if it is behind. */
  private long step;

  /** How far the clock that stamps events is ahead of the true time; negative if it is behind. */
  private long stampStep;

  private EventAge eventAge = new EventAge(0, EPOCH);

  /**
   * Restarts the gateway with a wall clock that is ahead by the given time; negative for behind.
   */
  private void startsWithWallAhead(long ahead) {
    step = ahead;
    eventAge = new EventAge(passed * MS, EPOCH + passed + step);
  }

  /** Advances the true time, and reads both clocks at least every 250 ms. */
  private void pass(long time) {
    for (long end = passed + time; passed < end; passed += Math.min(250, end - passed)) {
      eventAge.clocksRead(passed * MS, EPOCH + passed + step);
    }
    eventAge.clocksRead(passed * MS, EPOCH + passed + step);
  }

  /**
   * Returns the estimated age of a purge that is received now.
   *
   * @param ago the true age of the purge
   * @param live whether discovery sends the purge; false for state from before the gateway's start
   */
  private long purge(long ago, boolean live) {
    long stamp = EPOCH + passed - ago + stampStep;
    eventAge.clocksRead(passed * MS, EPOCH + passed + step);
    eventAge.replyStarted(passed * MS, live, stamp);
    long age = eventAge.purgeAgeNanos(passed * MS, stamp) / MS;
    eventAge.replyEnded();
    return age;
  }

  /**
   * Returns the estimated time since the start of an endpoint that is listed now.
   *
   * @param ago the true time since the start
   * @param live whether discovery sends the list; false for state from before the gateway's start
   */
  private long start(long ago, boolean live) {
    eventAge.clocksRead(passed * MS, EPOCH + passed + step);
    eventAge.replyStarted(passed * MS, live, 0);
    long age = eventAge.startAgeNanos(passed * MS, EPOCH + passed - ago + stampStep) / MS;
    eventAge.replyEnded();
    return age;
  }

  @Test
  void withoutAStepAgesFollowTheWallClock() {
    assertEquals(3_600_000, start(3_600_000, false));
    pass(1000);
    assertEquals(20, purge(20, true));
    pass(1000);
    assertTrue(purge(700, true) >= 700);
    assertTrue(start(1500, true) >= 1500);
  }

  @ParameterizedTest
  @CsvSource({
    "3600000, 0",
    "5000, 0",
    "3600000, 3600000",
    "5000, 5000",
    "-3600000, 0",
    "-5000, 0",
    "-3600000, -3600000",
    "-5000, -5000",
    "0, -3600000"
  })
  void afterAStepNoEventLooksOlderThanItIs(long wall, long stamps) {
    pass(1000);
    purge(30, true);
    pass(2000);
    step = wall;
    stampStep = stamps;
    for (int event = 0; event < 3; event++) {
      long age = purge(40, true);
      assertTrue(age >= 0 && age <= 40 + SLACK, "a purge of 40 ms ago: " + age);
      long started = start(300, true);
      assertTrue(started >= 0 && started <= 300 + SLACK, "a start 0.3 s ago: " + started);
      pass(700);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {-3_600_000, -5000, 5000, 3_600_000})
  void stepBeforeTheStartDoesNotAgeLiveEvents(long ahead) {
    startsWithWallAhead(ahead);
    assertTrue(purge(100, false) <= 100 + SLACK, "known at the start");
    pass(1000);
    assertTrue(start(50, true) <= 50 + SLACK);
    assertTrue(purge(50, true) <= 50 + SLACK);
  }

  @Test
  void implausiblyOldPurgeCorrectsAWallClockAheadFromTheStart() {
    startsWithWallAhead(3_600_000);
    assertTrue(start(2000, false) > 3_600_000, "known before the start, and not contradicted yet");
    pass(1000);
    purge(0, true);
    assertEquals(
        false, eventAge.takeCorrection(), "what came before the first reply may be of any age");
    pass(1000);
    assertTrue(purge(50, true) <= 50 + SLACK);
    assertEquals(true, eventAge.takeCorrection());
    assertEquals(false, eventAge.takeCorrection(), "reported once");
    assertTrue(start(4000, false) <= 4000 + SLACK);
  }

  @Test
  void driftIsFollowedWithoutCountingAsAStep() {
    for (int hour = 0; hour < 24 * 30; hour++) {
      for (int second = 0; second < 360; second++) {
        step += second % 100 == 0 ? 1 : 0;
        passed += 10_000;
        eventAge.clocksRead(passed * MS, EPOCH + passed + step);
      }
    }
    stampStep = step;
    assertTrue(purge(150, true) >= 150, "a month of a clock that runs fast");
  }
}
