package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
  private static final long MS = 1_000_000L;
  private static final long NOW = 1_000_000 * MS;

  private static ConcurrencyLimit limit(double share) {
    ConcurrencyLimit limit = new ConcurrencyLimit(nowNanos -> 1);
    limit.setShare(share, 24);
    limit.advanceTo(NOW);
    return limit;
  }

  @Test
  void onlyPriorityRequestsMayExceedTheLimit() {
    ConcurrencyLimit limit = limit(1);
    limit.inFlight = 24;
    assertFalse(limit.hasRoom(NOW, 1));
    assertTrue(limit.hasRoom(NOW, 1.5));
  }

  @Test
  void lateResponsesLowerTheLimitOncePerIntervalAndTimelyOnesRaiseIt() {
    ConcurrencyLimit limit = limit(1);
    limit.onResponse(NOW, false);
    double loweredLimit = limit.limit();
    assertEquals(0.8, loweredLimit, 2.4, "lowered from the number in flight, not from the limit");
    limit.onResponse(NOW + MS, false);
    assertEquals(loweredLimit, limit.limit());
    limit.inFlight = loweredLimit;
    limit.onResponse(NOW + 2 * MS, true);
    assertTrue(limit.limit() > loweredLimit);
  }

  @Test
  void limitBelowOneRequestIsEnforcedOverTime() {
    ConcurrencyLimit limit = limit(0.01);
    assertTrue(limit.hasRoom(NOW, 1), "no debt yet");
    limit.inFlight = 1;
    assertFalse(limit.hasRoom(NOW + 100 * MS, 1));
    limit.inFlight = 0;
    assertFalse(
        limit.hasRoom(NOW + 100 * MS, 1), "debt of 0.1 s with 1 request at a limit of 0.24");
    assertTrue(limit.hasRoom(NOW + 500 * MS, 1));
  }

  @Test
  void rejectionCountsAsOneSecondInFlight() {
    ConcurrencyLimit limit = limit(0.01);
    limit.onRejected(NOW);
    assertFalse(limit.hasRoom(NOW + MS, 1));
  }

  @Test
  void smallerShareLowersTheLimitAndRegainedShareResetsIt() {
    ConcurrencyLimit limit = limit(1);
    limit.rescale(1, 0.5);
    assertEquals(12, limit.limit());
    limit.rescale(0, 1);
    limit.setShare(1, 24);
    assertEquals(24, limit.limit());
  }
}
