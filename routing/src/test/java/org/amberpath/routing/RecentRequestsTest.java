package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class RecentRequestsTest {
  private final RecentRequests<Integer, String> recent = new RecentRequests<>(3);

  private void addAll(int... keys) {
    for (int key : keys) {
      recent.add(key, "object " + key);
    }
  }

  @Test
  void mostFrequentRequestComesFirstAndSingleRequestsAreSkipped() {
    addAll(1, 2, 2, 3, 3, 3);
    assertEquals("object 3", recent.latest());
    assertNull(recent.nextInPass());
    recent.startPass();
    assertEquals("object 3", recent.nextInPass());
    assertEquals("object 2", recent.nextInPass());
    assertNull(recent.nextInPass());
  }

  @Test
  void leastRecentRequestIsEvictedAndCountsDecay() {
    addAll(1, 1, 2, 2, 3, 3, 4, 4);
    recent.startPass();
    recent.startPass(); // The first pass halved each count from 2 to 1.
    assertNull(recent.nextInPass());
    addAll(2);
    recent.startPass();
    assertEquals("object 2", recent.nextInPass());
    assertNull(recent.nextInPass(), "1 was evicted, the others were requested once");
  }
}
