package org.amberpath.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LatencyHistogramTest {
  private static final long MS = 1_000_000L;
  private final LatencyHistogram histogram = new LatencyHistogram();

  @Test
  void meanIsWithinOneBinOfTheSamples() {
    for (int sample = 0; sample < 100; sample++) {
      histogram.record(100 * MS);
    }
    assertEquals(100.0 * MS, (double) histogram.meanNanos(), 20.0 * MS);
  }

  @Test
  void newSamplesOutweighOldOnesOnceItIsFull() {
    for (int sample = 0; sample < 2000; sample++) {
      histogram.record(sample < 1000 ? 1000 * MS : 10 * MS);
    }
    assertTrue(histogram.meanNanos() < 300 * MS, "mean " + histogram.meanNanos());
  }

  @Test
  void durationsOutOfRangeCountInTheOuterBins() {
    histogram.record(0);
    assertTrue(histogram.meanNanos() < 6 * MS);
    histogram.record(Long.MAX_VALUE);
    assertTrue(histogram.meanNanos() > 5000 * MS);
  }
}
