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
  private static final long EPOCH_MILLIS = 1_764_576_000_000L;
  private static final long TOLERANCE_MILLIS = 200;
  private long elapsedMillis;

  /** How far this gateway's wall clock is ahead of the true time; negative if it is behind. */
  private long wallAheadMillis;

  /** How far the clock that stamps events is ahead of the true time; negative if it is behind. */
  private long stampsAheadMillis;

  private EventAge eventAge = new EventAge(0, EPOCH_MILLIS);

  /**
   * Restarts the gateway with a wall clock that is ahead by the given time; negative for behind.
   */
  private void restartWithWallAhead(long aheadMillis) {
    wallAheadMillis = aheadMillis;
    eventAge = new EventAge(elapsedMillis * MS, EPOCH_MILLIS + elapsedMillis + wallAheadMillis);
  }

  /** Advances the true time, and reads both clocks at least every 250 ms. */
  private void advance(long millis) {
    for (long end = elapsedMillis + millis;
        elapsedMillis < end;
        elapsedMillis += Math.min(250, end - elapsedMillis)) {
      eventAge.clocksRead(elapsedMillis * MS, EPOCH_MILLIS + elapsedMillis + wallAheadMillis);
    }
    eventAge.clocksRead(elapsedMillis * MS, EPOCH_MILLIS + elapsedMillis + wallAheadMillis);
  }

  /**
   * Returns the estimated age of a purge that is received now.
   *
   * @param trueAgeMillis the true age of the purge
   * @param isLive whether discovery sends the purge; false for state from before the gateway's
   *     start
   */
  private long purgeAgeMillis(long trueAgeMillis, boolean isLive) {
    long stamp = EPOCH_MILLIS + elapsedMillis - trueAgeMillis + stampsAheadMillis;
    eventAge.clocksRead(elapsedMillis * MS, EPOCH_MILLIS + elapsedMillis + wallAheadMillis);
    eventAge.replyStarted(elapsedMillis * MS, isLive, stamp);
    long age = eventAge.purgeAgeNanos(elapsedMillis * MS, stamp) / MS;
    eventAge.replyEnded();
    return age;
  }

  /**
   * Returns the estimated time since the start of an endpoint that is listed now.
   *
   * @param trueAgeMillis the true time since the start
   * @param isLive whether discovery sends the list; false for state from before the gateway's start
   */
  private long startAgeMillis(long trueAgeMillis, boolean isLive) {
    eventAge.clocksRead(elapsedMillis * MS, EPOCH_MILLIS + elapsedMillis + wallAheadMillis);
    eventAge.replyStarted(elapsedMillis * MS, isLive, 0);
    long age =
        eventAge.startAgeNanos(
                elapsedMillis * MS,
                EPOCH_MILLIS + elapsedMillis - trueAgeMillis + stampsAheadMillis)
            / MS;
    eventAge.replyEnded();
    return age;
  }

  @Test
  void withoutAStepAgesFollowTheWallClock() {
    assertEquals(3_600_000, startAgeMillis(3_600_000, false));
    advance(1000);
    assertEquals(20, purgeAgeMillis(20, true));
    advance(1000);
    assertTrue(purgeAgeMillis(700, true) >= 700);
    assertTrue(startAgeMillis(1500, true) >= 1500);
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
  void afterAStepNoEventIsEstimatedOlderThanItIs(long wallAhead, long stampsAhead) {
    advance(1000);
    purgeAgeMillis(30, true);
    advance(2000);
    wallAheadMillis = wallAhead;
    stampsAheadMillis = stampsAhead;
    for (int event = 0; event < 3; event++) {
      long purgeAge = purgeAgeMillis(40, true);
      assertTrue(
          purgeAge >= 0 && purgeAge <= 40 + TOLERANCE_MILLIS, "a purge of 40 ms ago: " + purgeAge);
      long startAge = startAgeMillis(300, true);
      assertTrue(
          startAge >= 0 && startAge <= 300 + TOLERANCE_MILLIS, "a start 0.3 s ago: " + startAge);
      advance(700);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {-3_600_000, -5000, 5000, 3_600_000})
  void stepBeforeTheStartDoesNotAgeLiveEvents(long aheadMillis) {
    restartWithWallAhead(aheadMillis);
    assertTrue(purgeAgeMillis(100, false) <= 100 + TOLERANCE_MILLIS, "a purge known at the start");
    advance(1000);
    assertTrue(startAgeMillis(50, true) <= 50 + TOLERANCE_MILLIS);
    assertTrue(purgeAgeMillis(50, true) <= 50 + TOLERANCE_MILLIS);
  }

  @Test
  void implausiblyOldPurgeCorrectsAWallClockAheadFromTheStart() {
    restartWithWallAhead(3_600_000);
    assertTrue(
        startAgeMillis(2000, false) > 3_600_000,
        "known from before the start, and not corrected yet");
    advance(1000);
    purgeAgeMillis(0, true);
    assertEquals(false, eventAge.pollCorrection(), "events of the first reply may be of any age");
    advance(1000);
    assertTrue(purgeAgeMillis(50, true) <= 50 + TOLERANCE_MILLIS);
    assertEquals(true, eventAge.pollCorrection());
    assertEquals(false, eventAge.pollCorrection(), "reported once");
    assertTrue(startAgeMillis(4000, false) <= 4000 + TOLERANCE_MILLIS);
  }

  @Test
  void driftIsFollowedWithoutCountingAsAStep() {
    for (int hour = 0; hour < 24 * 30; hour++) {
      for (int second = 0; second < 360; second++) {
        wallAheadMillis += second % 100 == 0 ? 1 : 0;
        elapsedMillis += 10_000;
        eventAge.clocksRead(elapsedMillis * MS, EPOCH_MILLIS + elapsedMillis + wallAheadMillis);
      }
    }
    stampsAheadMillis = wallAheadMillis;
    assertTrue(purgeAgeMillis(150, true) >= 150, "both clocks have run fast for a month");
  }
}
