package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class RecentRequestsTest {
  private final RecentRequests<Integer, String> recent = new RecentRequests<>(3);

  private void ask(int... keys) {
    for (int key : keys) {
      recent.add(key, "object " + key);
    }
  }

  @Test
  void whatWasAskedForMostComesFirstAndWhatWasAskedForOnceNotAtAll() {
    ask(1, 2, 2, 3, 3, 3);
    assertEquals("object 3", recent.latest());
    assertNull(recent.next());
    recent.turn();
    assertEquals("object 3", recent.next());
    assertEquals("object 2", recent.next());
    assertNull(recent.next());
  }

  @Test
  void theOneAskedForLongestAgoGoesAndOldCountsWearOff() {
    ask(1, 1, 2, 2, 3, 3, 4, 4);
    recent.turn();
    recent.turn(); // All asked for twice count once by now.
    assertNull(recent.next());
    ask(2);
    recent.turn();
    assertEquals("object 2", recent.next());
    assertNull(recent.next(), "1 has gone, the others were asked for once");
  }
}
