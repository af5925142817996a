package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ObjectHistoryTest {
  private final ObjectHistory history = new ObjectHistory();

  @Test
  void startReturnsTheTimeOfThePreviousStart() {
    assertEquals(0, history.observe(5, 0, false, 100));
    assertEquals(0, history.observe(5, 3, false, 150), "a later part of the first playback");
    assertEquals(100, history.observe(5, 0, false, 200));
    assertEquals(100, history.previousStartNanos(5));
  }

  @Test
  void partOutOfSequenceIsAStartInASharedZone() {
    history.observe(5, 7, true, 100);
    assertEquals(0, history.observe(5, 8, true, 150));
    assertEquals(
        100, history.observe(5, 8, true, 200), "the same part again belongs to another playback");
  }

  @Test
  void objectStartedLongestAgoIsEvictedFirst() {
    history.observe(1, 0, false, 1);
    history.observe(2, 0, false, 2);
    history.observe(1, 0, false, 3);
    for (int object = 10; object < 10 + 8191; object++) {
      history.observe(object, 0, false, 4);
    }
    assertEquals(1, history.previousStartNanos(1));
    assertEquals(0, history.observe(2, 0, false, 5));
  }

  @Test
  void shortestResponseTimeOfAKnownObjectIsStored() {
    history.recordResponseTime(5, 70);
    assertEquals(0, history.shortestResponseNanos(5));
    history.observe(5, 0, false, 100);
    history.recordResponseTime(5, 70);
    history.recordResponseTime(5, 90);
    assertEquals(70, history.shortestResponseNanos(5));
  }
}
