package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * How old events are taken to be while the wall clock, or that of who stamps them, steps.
 * Milliseconds.
 */
class WallClockStepTest {
  private static final long MS = 1_000_000L, EPOCH = 1_764_576_000_000L, SLACK = 200;
  private long passed, step, stampStep;
  private EventAge ages = new EventAge(0, EPOCH);

  /** A gateway that starts anew, with a wall clock that is so far ahead. */
  private void startsWithWallAhead(long ahead) {
    step = ahead;
    ages = new EventAge(passed * MS, EPOCH + passed + step);
  }

  private void pass(long time) {
    for (long end = passed + time; passed < end; passed += Math.min(250, end - passed)) {
      ages.clocksRead(passed * MS, EPOCH + passed + step);
    }
    ages.clocksRead(passed * MS, EPOCH + passed + step);
  }

  /** How old, in milliseconds, a purge is taken to be that was so long ago and comes now. */
  private long purge(long ago, boolean live) {
    long stamp = EPOCH + passed - ago + stampStep;
    ages.clocksRead(passed * MS, EPOCH + passed + step);
    ages.replyStarted(passed * MS, live, stamp);
    long age = ages.purgeAgeNanos(passed * MS, stamp) / MS;
    ages.replyEnded();
    return age;
  }

  private long start(long ago, boolean live) {
    ages.clocksRead(passed * MS, EPOCH + passed + step);
    ages.replyStarted(passed * MS, live, 0);
    long age = ages.startAgeNanos(passed * MS, EPOCH + passed - ago + stampStep) / MS;
    ages.replyEnded();
    return age;
  }

  @Test
  void withoutAStepTheWallClocksWordHolds() {
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
  void afterAStepNothingLooksOlderThanItIs(long wall, long stamps) {
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
  void aStepBeforeTheStartMakesNoPurgeAndNoStartThatIsHeardOfOld(long ahead) {
    startsWithWallAhead(ahead);
    assertTrue(purge(100, false) <= 100 + SLACK, "known at the start");
    pass(1000);
    assertTrue(start(50, true) <= 50 + SLACK);
    assertTrue(purge(50, true) <= 50 + SLACK);
  }

  @Test
  void aPurgeThatCantBeSoOldShowsThatTheWallClockWasAheadFromTheStart() {
    startsWithWallAhead(3_600_000);
    assertTrue(start(2000, false) > 3_600_000, "known from before, nothing speaks against it yet");
    pass(1000);
    purge(0, true);
    assertEquals(
        false, ages.takeCorrection(), "what came before the first reply may be of any age");
    pass(1000);
    assertTrue(purge(50, true) <= 50 + SLACK);
    assertEquals(true, ages.takeCorrection());
    assertEquals(false, ages.takeCorrection(), "told once");
    assertTrue(start(4000, false) <= 4000 + SLACK);
  }

  @Test
  void driftIsFollowedAndNoStep() {
    for (int hour = 0; hour < 24 * 30; hour++) {
      for (int second = 0; second < 360; second++) {
        step += second % 100 == 0 ? 1 : 0;
        passed += 10_000;
        ages.clocksRead(passed * MS, EPOCH + passed + step);
      }
    }
    stampStep = step;
    assertTrue(purge(150, true) >= 150, "a month of a clock that runs fast");
  }
}
