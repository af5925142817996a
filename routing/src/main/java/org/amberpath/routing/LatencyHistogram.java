package org.amberpath.routing;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * A histogram of durations with exponential bins: two bins per doubling, from 4 ms on. All counts
 * are halved when the histogram is full, so that newer samples weigh more.
 */
final class LatencyHistogram {
  private static final int BINS = 24;
  private static final int MAX_SAMPLES = 512;
  private static final int BINS_PER_DOUBLING = 2;
  private static final double MIN_NANOS = 4.0 * 1_000_000L;

  private final int[] counts = new int[BINS];

  /** Counts a duration in nanoseconds; one out of range is counted in the first or the last bin. */
  void record(long durationNanos) {
    double bin = BINS_PER_DOUBLING * Math.log(durationNanos / MIN_NANOS) / Math.log(2);
    counts[(int) Math.max(0, Math.min(BINS - 1, bin))]++;
    if (Arrays.stream(counts).sum() >= MAX_SAMPLES) {
      Arrays.setAll(counts, index -> counts[index] / 2);
    }
  }

  /**
   * Returns the mean duration in nanoseconds, with each sample taken at the middle of its bin.
   * Requires at least one sample.
   */
  long meanNanos() {
    double sum =
        IntStream.range(0, BINS)
            .mapToDouble(bin -> counts[bin] * Math.pow(2, (bin + 0.5) / BINS_PER_DOUBLING))
            .sum();
    return (long) (MIN_NANOS * sum / Arrays.stream(counts).sum());
  }
}
