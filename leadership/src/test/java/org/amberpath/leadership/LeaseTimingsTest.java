package org.amberpath.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Timings with which the invariants cannot hold are rejected. */
class LeaseTimingsTest {
  @Test
  void messageNamesEachTimingAndItsBounds() {
    InvalidLeadershipConfigException.Timings rejected =
        assertThrows(
            InvalidLeadershipConfigException.Timings.class, () -> new LeaseTimings(10, -1, 7));
    assertEquals(
        "lease timings out of bounds: lease 10 ns (at least 1000000), settle -1 ns (at least 0),"
            + " clock drift 7 ppm (0 to 50000)",
        rejected.getMessage());
  }
}
