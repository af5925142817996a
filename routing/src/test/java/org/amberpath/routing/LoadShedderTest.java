package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Stories of a loop with too much to do. */
class LoadShedderTest {
  private static final long MS = 1_000_000, TICK = 10 * MS, WAIT = 1000 * MS;

  private final LoadShedder pace = new LoadShedder(7, WAIT);
  private long now;

  @Test
  void onePauseShedsNothing() {
    turn(400 * MS);
    for (int get = 0; get < 500; get++) {
      assertTrue(pace.tryAdmit());
    }
    turn(30 * MS);
    turn(0);
    assertFalse(pace.isShedding());
  }

  @Test
  void pausesApartShedNothing() {
    for (int at = 0; at < 50; at++) {
      turn(200 * MS);
      turn(0);
    }
    assertFalse(pace.isShedding());
  }

  /**
   * A loop whose GETs cost so much that it bears so many a second, and to which some times as many
   * come.
   */
  @ParameterizedTest
  @ValueSource(doubles = {1.2, 3, 10})
  void underManyTimesWhatItBearsTheLoopIsSoonOnTimeAndStaysBusy(double times) {
    long cost = MS, cheap = cost / 30;
    double owed = 0;
    long lag = 0, answered = 0, worst = 0;
    for (int turn = 0; turn < 3000; turn++) {
      turn(Math.max(0, lag - TICK));
      owed += Math.max(TICK, lag) * times / cost;
      long work = 0;
      for (; owed >= 1; owed--) {
        boolean takes = pace.tryAdmit();
        answered += takes && turn >= 200 ? 1 : 0;
        work += takes ? cost : cheap;
      }
      lag = work;
      worst = turn >= 200 ? Math.max(worst, lag) : worst;
    }
    assertTrue(worst <= 50 * MS, "a turn of " + worst / MS + " ms");
    assertTrue(answered * cost > 0.5 * (now - 200 * TICK), answered + " of " + now / cost);
  }

  @Test
  void aGatewayWithLittleTrafficShedsNothingHoweverLateItIs() {
    for (int at = 0; at < 100; at++) {
      turn(200 * MS);
      for (int get = 0; get < 8; get++) {
        assertTrue(pace.tryAdmit());
      }
    }
  }

  @Test
  void whenTheLoadIsGoneAllAreTakenAgain() {
    for (int turn = 0; turn < 20; turn++) {
      pace.tryAdmit();
      turn(90 * MS);
    }
    assertTrue(pace.isShedding());
    for (int turn = 0; turn < 60; turn++) {
      turn(0);
    }
    assertFalse(pace.isShedding());
  }

  @Test
  void thoseWhoAreShedStayAwayForSomeTimeAndComeBackSpread() {
    long first = pace.retryAfterNanos();
    assertTrue(first >= WAIT / 2 && first <= WAIT);
    assertTrue(first != pace.retryAfterNanos());
    assertEquals(0, new LoadShedder(7, 0).retryAfterNanos());
  }

  private void turn(long late) {
    now += TICK + late;
    pace.turnStarted(now, late);
  }
}
