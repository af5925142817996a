package org.amberpath.lab.fleet;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.simulation.Simulation;

/** The counters of one run of a fleet, each in bins of one second from the start of the run. */
public final class FleetFigures {
  private static final int BINS_PER_SECOND = 10;

  /** Bins after the end of the run; events that are even later are counted in the last bin. */
  private static final int EXTRA_SECONDS = 10;

  private static final double RESTORED_SHARE = 0.95;
  private static final double PER_MILLE = 1000;

  private final int seconds;
  private final Map<String, long[]> countsBySecond = new TreeMap<>();
  private final int[] originFillBins;
  private long peakWarmUpLoadPerMille;
  private long warmUpOverloads;

  FleetFigures(int durationSeconds) {
    seconds = durationSeconds + EXTRA_SECONDS;
    originFillBins = new int[seconds * BINS_PER_SECOND];
  }

  /** Counts one event in the second of its time on the virtual clock. */
  public void count(String counter, long timeNanos) {
    long[] counts = countsBySecond.computeIfAbsent(counter, name -> new long[seconds]);
    long second = (timeNanos - Simulation.EPOCH_NANOS) / Simulation.NANOS_PER_SECOND;
    counts[(int) Math.min(counts.length - 1, second)]++;
  }

  void countOriginFill(long timeNanos) {
    count("origin", timeNanos);
    long bin =
        (timeNanos - Simulation.EPOCH_NANOS) / (Simulation.NANOS_PER_SECOND / BINS_PER_SECOND);
    originFillBins[(int) Math.min(originFillBins.length - 1, bin)]++;
  }

  /**
   * Records the load of a cache that warms up.
   *
   * @param requests the requests that the cache received in the present window
   * @param bound the number of requests that it can serve in a window
   */
  void recordWarmUpLoad(int requests, double bound) {
    peakWarmUpLoadPerMille =
        Math.max(peakWarmUpLoadPerMille, (long) (PER_MILLE * requests / bound));
    warmUpOverloads += requests > bound ? 1 : 0;
  }

  /**
   * Returns the sum of a counter over the seconds from {@code fromSecond} to {@code toSecond},
   * excluding the latter.
   */
  public double total(String counter, int fromSecond, int toSecond) {
    double sum = 0;
    long[] counts = countsBySecond.getOrDefault(counter, new long[seconds]);
    for (int second = fromSecond; second < toSecond; second++) {
      sum += counts[second];
    }
    return sum;
  }

  /**
   * Returns the fraction of the requests that began in these seconds and were returned within the
   * latency objective; 1 if none began. {@code toSecond} is excluded.
   */
  public double goodShare(int fromSecond, int toSecond) {
    double requested = total("asked", fromSecond, toSecond);
    return requested == 0 ? 1 : total("good", fromSecond, toSecond) / requested;
  }

  /**
   * Returns the highest number of fills from the origin in any tenth of a second, from a second on.
   */
  public int originFillPeak(int fromSecond) {
    return Arrays.stream(originFillBins, fromSecond * BINS_PER_SECOND, originFillBins.length)
        .max()
        .orElse(0);
  }

  /**
   * Returns the seconds from {@code fromSecond} until the good share stays at 0.95 or more of what
   * it was before, up to {@code toSecond}.
   */
  public double secondsUntilRestored(int fromSecond, int toSecond, double shareBefore) {
    double restoredAfter = toSecond - fromSecond;
    for (int second = toSecond - 1;
        second >= fromSecond && goodShare(second, second + 1) >= RESTORED_SHARE * shareBefore;
        second--) {
      restoredAfter = second - fromSecond;
    }
    return restoredAfter;
  }

  /** Returns the highest load of any cache during its warm-up, as a fraction of its bound. */
  public double peakWarmUpLoad() {
    return peakWarmUpLoadPerMille / PER_MILLE;
  }

  /** Returns how often a cache received more than its bound during its warm-up. */
  public long warmUpOverloads() {
    return warmUpOverloads;
  }
}
