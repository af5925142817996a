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
    assertNull(recent.nextInPass());
    recent.startPass();
    assertEquals("object 3", recent.nextInPass());
    assertEquals("object 2", recent.nextInPass());
    assertNull(recent.nextInPass());
  }

  @Test
  void theOneAskedForLongestAgoGoesAndOldCountsWearOff() {
    ask(1, 1, 2, 2, 3, 3, 4, 4);
    recent.startPass();
    recent.startPass(); // All asked for twice count once by now.
    assertNull(recent.nextInPass());
    ask(2);
    recent.startPass();
    assertEquals("object 2", recent.nextInPass());
    assertNull(recent.nextInPass(), "1 has gone, the others were asked for once");
  }
}
