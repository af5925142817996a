package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CachePrefetchTest {
  private static final long MS = 1_000_000;
  private final CachePrefetch ahead = new CachePrefetch();

  private int asks(long now) {
    int asks = 0;
    while (ahead.tryStartRequest(now)) {
      asks++;
    }
    return asks;
  }

  @Test
  void nothingIsAskedForWhileNoCacheIsCold() {
    assertEquals(0, asks(1));
    ahead.endpointWarmingUp(1, "x", 100 * MS);
    assertTrue(asks(1) > 0);
    assertFalse(ahead.isIdle());
    assertEquals(0, asks(100 * MS), "it is warm by now");
  }

  @Test
  void fewAreOutAtATimeAndATurnThatIsOverBeginsAnewAfterARest() {
    ahead.endpointWarmingUp(1, "x", 10_000 * MS);
    assertEquals(8, asks(1));
    int more = 0;
    for (int one = 0; one < 1000; one++) {
      ahead.requestEnded();
      more += ahead.tryStartRequest(1) ? 1 : 0;
      if (more < one + 1) {
        break;
      }
    }
    assertEquals(64 - 8, more, "no more a tick");
    ahead.tick();
    assertTrue(ahead.tryStartRequest(1));
    ahead.passEnded(1);
    assertEquals(0, asks(200 * MS));
    ahead.tick();
    assertTrue(asks(300 * MS) > 0);
  }
}
