package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class RecentRequestsTest {
  private final RecentRequests<Integer, String> recentRequests = new RecentRequests<>(3);

  private void addAll(int... keys) {
    for (int key : keys) {
      recentRequests.add(key, "object " + key);
    }
  }

  @Test
  void mostFrequentRequestComesFirstAndSingleRequestsAreSkipped() {
    addAll(1, 2, 2, 3, 3, 3);
    assertEquals("object 3", recentRequests.latest());
    assertNull(recentRequests.nextInPass());
    recentRequests.startPass();
    assertEquals("object 3", recentRequests.nextInPass());
    assertEquals("object 2", recentRequests.nextInPass());
    assertNull(recentRequests.nextInPass());
  }

  @Test
  void leastRecentRequestIsEvictedAndCountsDecay() {
    addAll(1, 1, 2, 2, 3, 3, 4, 4);
    recentRequests.startPass();
    recentRequests.startPass(); // The first pass halved each count from 2 to 1.
    assertNull(recentRequests.nextInPass());
    addAll(2);
    recentRequests.startPass();
    assertEquals("object 2", recentRequests.nextInPass());
    assertNull(recentRequests.nextInPass(), "1 was evicted, the others were requested once");
  }
}
