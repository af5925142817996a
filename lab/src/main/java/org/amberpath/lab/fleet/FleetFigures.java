package org.amberpath.lab.fleet;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.amberpath.lab.simulation.Simulation;

/** What is counted in one run of a fleet, by seconds from its start. */
public final class FleetFigures {
  private static final int BINS_PER_SECOND = 10;
  private static final int MORE_SECONDS = 10;
  private static final double RESTORED_SHARE = 0.95;
  private static final double PER_MILLE = 1000;

  private final int seconds;
  private final Map<String, long[]> countsBySecond = new TreeMap<>();
  private final int[] originFillBins;
  private long peakWarmUpLoadPerMille;
  private long warmUpOverloads;

  FleetFigures(int endSeconds) {
    seconds = endSeconds + MORE_SECONDS;
    originFillBins = new int[seconds * BINS_PER_SECOND];
  }

  /** Counts one event at a time. */
  public void count(String counter, long timeNanos) {
    long[] counts = countsBySecond.computeIfAbsent(counter, name -> new long[seconds]);
    long second = (timeNanos - Simulation.EPOCH_NANOS) / Simulation.NANOS_PER_SECOND;
    counts[(int) Math.min(counts.length - 1, second)]++;
  }

  void originFilled(long timeNanos) {
    count("origin", timeNanos);
    long bin =
        (timeNanos - Simulation.EPOCH_NANOS) / (Simulation.NANOS_PER_SECOND / BINS_PER_SECOND);
    originFillBins[(int) Math.min(originFillBins.length - 1, bin)]++;
  }

  /** So many requests came to a cache that warms up, in a window in which it bears so many. */
  void warmUpLoad(int requests, double bound) {
    peakWarmUpLoadPerMille =
        Math.max(peakWarmUpLoadPerMille, (long) (PER_MILLE * requests / bound));
    warmUpOverloads += requests > bound ? 1 : 0;
  }

  /** How often a counter was counted, from one second to another, that excluded. */
  public double total(String counter, int fromSecond, int toSecond) {
    double sum = 0;
    long[] counts = countsBySecond.getOrDefault(counter, new long[seconds]);
    for (int second = fromSecond; second < toSecond; second++) {
      sum += counts[second];
    }
    return sum;
  }

  /** Of the requests that began in these seconds, the part returned within the objective. */
  public double goodShare(int fromSecond, int toSecond) {
    double begun = total("asked", fromSecond, toSecond);
    return begun == 0 ? 1 : total("good", fromSecond, toSecond) / begun;
  }

  /** The most fills from the origin in a tenth of a second, from a second on. */
  public int originFillPeak(int fromSecond) {
    return Arrays.stream(originFillBins, fromSecond * BINS_PER_SECOND, originFillBins.length)
        .max()
        .orElse(0);
  }

  /** How long from a second on until service stays at 0.95 of what it was before. */
  public double secondsUntilRestored(int fromSecond, int toSecond, double shareBefore) {
    double restoredAfter = toSecond - fromSecond;
    for (int second = toSecond - 1;
        second >= fromSecond && goodShare(second, second + 1) >= RESTORED_SHARE * shareBefore;
        second--) {
      restoredAfter = second - fromSecond;
    }
    return restoredAfter;
  }

  /** The highest load of a cache that warmed up, as a part of what it bears. */
  public double peakWarmUpLoad() {
    return peakWarmUpLoadPerMille / PER_MILLE;
  }

  /** How often a cache that warmed up got more than it bears. */
  public long warmUpOverloads() {
    return warmUpOverloads;
  }
}
