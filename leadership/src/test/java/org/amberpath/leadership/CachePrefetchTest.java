package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Bounds on the prefetch requests of a tick and in flight, and the pause between passes. */
class CachePrefetchTest {
  private static final long MS = 1_000_000;
  private final CachePrefetch prefetch = new CachePrefetch();

  private int startAll(long now) {
    int started = 0;
    while (prefetch.tryStartRequest(now)) {
      started++;
    }
    return started;
  }

  @Test
  void noPrefetchRequestIsStartedWhileNoEndpointIsWarmingUp() {
    assertEquals(0, startAll(1));
    prefetch.endpointWarmingUp(1, "x", 100 * MS);
    assertTrue(startAll(1) > 0);
    assertFalse(prefetch.isIdle());
    assertEquals(0, startAll(100 * MS), "the slow start of the endpoint has ended");
  }

  @Test
  void requestsInFlightAreBoundedAndTheNextPassBeginsAfterAPause() {
    prefetch.endpointWarmingUp(1, "x", 10_000 * MS);
    assertEquals(8, startAll(1));
    int startedLater = 0;
    for (int ended = 0; ended < 1000; ended++) {
      prefetch.requestEnded();
      startedLater += prefetch.tryStartRequest(1) ? 1 : 0;
      if (startedLater < ended + 1) {
        break;
      }
    }
    assertEquals(64 - 8, startedLater, "64 requests are the maximum per tick");
    prefetch.tick();
    assertTrue(prefetch.tryStartRequest(1));
    prefetch.passEnded(1);
    assertEquals(0, startAll(200 * MS));
    prefetch.tick();
    assertTrue(startAll(300 * MS) > 0);
  }
}
