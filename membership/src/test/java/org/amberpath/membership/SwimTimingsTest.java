package org.amberpath.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests the validation of the protocol's bounds and times. */
class SwimTimingsTest {
  @Test
  void messageOfInvalidTimingsNamesEachValueAndItsBounds() {
    IllegalArgumentException failure =
        assertThrows(IllegalArgumentException.class, () -> new SwimTimings(0, 9, 8, 3));
    assertEquals(
        "membership timings out of bounds: maxMembers=0 (at least 1), probeIntervalNanos=9 (at"
            + " least 10000000), probeTimeoutNanos=8 (at least 1000000, at most a third of the"
            + " interval), maxUpdatesPerMessage=3 (at least 4)",
        failure.getMessage());
  }
}
