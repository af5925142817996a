package org.amberpath.lab.membership;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.simulation.Simulation;

/**
 * Measures the cost and the detection times of membership by fleet size, on a virtual clock: a
 * start of all members, a minute with 5 % datagram loss, a crash, a join, and the healing of a
 * partition. Prints the calculated cost of all-to-all heartbeats for comparison.
 */
public final class MembershipSizeExperiment {
  private static final long SECOND = Simulation.NANOS_PER_SECOND;
  private static final long MAX_DETECTION_NANOS = 300 * SECOND;
  private static final long MAX_HEALED_NANOS = 600 * SECOND;
  private static final long STABLE_NANOS = 20 * SECOND;
  private static final long AFTER_LOSS_NANOS = 5 * SECOND;
  private static final long PARTITION_NANOS = 20 * SECOND;
  private static final int LOSSY_SECONDS = 60;
  private static final double MINUTES_PER_HOUR = 60;
  private static final double LOSS_RATE = 0.05;
  private static final double MILLIS_PER_SECOND = 1e3;

  /** Size of a datagram that only identifies its sender: a header and a MAC. */
  private static final int HEARTBEAT_BYTES = 130;

  private static final int MAX_LOSSY_DATAGRAMS = 60;
  private static final int MAX_DATAGRAMS = 120;

  private final SizedFleet fleet;
  private final int size;
  private final long probeIntervalMillis;
  private Histogram untilAllKnown;
  private Histogram untilCrashKnown;
  private Histogram untilJoinKnown;
  private Histogram untilHealed;
  private double datagramsPerSecond;
  private double cpuMicrosPerSecond;
  private long maxDatagramsWhileLossy;

  private MembershipSizeExperiment(long seed, int size, long probeIntervalMillis) {
    fleet = new SizedFleet(seed, size, probeIntervalMillis * Simulation.NANOS_PER_MILLI);
    this.size = size;
    this.probeIntervalMillis = probeIntervalMillis;
  }

  /**
   * Measures each fleet size with each probe interval, and prints a row for each combination.
   *
   * @param probeIntervalsMillis the probe intervals in milliseconds
   */
  public static ExperimentReport run(
      long seed, List<Integer> sizes, List<Integer> probeIntervalsMillis, PrintStream out) {
    ExperimentReport result = new ExperimentReport(seed);
    out.println(
        "figures per gateway; suspicions and losses: false reports about running members, at 5 %"
            + " loss of datagrams");
    out.println(
        "size  period  all known  datagrams/s  bytes/s  most/s, ever  suspicions/h  losses/h  crash"
            + " p50, p99, max   join p99  healed p99   CPU us/s per gateway, codec us per datagram"
            + " sent, read");
    for (int size : sizes) {
      for (long probeIntervalMillis : probeIntervalsMillis) {
        MembershipSizeExperiment row =
            new MembershipSizeExperiment(seed, size, probeIntervalMillis);
        row.measure();
        row.print(out);
        row.report(result);
      }
      double heartbeatsPerSecond = 2.0 * (size - 1);
      out.printf(
          Locale.ROOT,
          "%4d  all-to-all heartbeats, one per 0.5 s, lost after 5 missed: %.0f datagrams/s, "
              + "%.0f bytes/s per gateway; crash detected by each after 2.5 to 3 s%n",
          size,
          heartbeatsPerSecond,
          heartbeatsPerSecond * HEARTBEAT_BYTES);
    }
    return result;
  }

  private void measure() {
    fleet.startAll();
    untilAllKnown = fleet.runUntilPresent(size, MAX_DETECTION_NANOS);
    fleet.runFor(STABLE_NANOS);
    measureLossyMinute();
    fleet.runFor(AFTER_LOSS_NANOS);
    SizedFleetMember last = fleet.members().get(size - 1);
    last.crash();
    untilCrashKnown = fleet.runUntilPresent(size - 1, MAX_DETECTION_NANOS);
    last.restart();
    untilJoinKnown = fleet.runUntilPresent(size, MAX_DETECTION_NANOS);
    fleet.partitionFor(PARTITION_NANOS);
    untilHealed = fleet.runUntilPresent(size, MAX_HEALED_NANOS);
  }

  private void measureLossyMinute() {
    long datagramsBefore = fleet.datagramCount();
    long protocolNanosBefore = fleet.protocolNanos();
    fleet.resetMaxDatagrams();
    fleet.setLossRate(LOSS_RATE);
    fleet.startCountingFalseAlarms();
    fleet.runFor(LOSSY_SECONDS * SECOND);
    fleet.stopCountingFalseAlarms();
    fleet.setLossRate(0);
    maxDatagramsWhileLossy = fleet.maxDatagramsPerSecond();
    datagramsPerSecond = (fleet.datagramCount() - datagramsBefore) / (double) LOSSY_SECONDS / size;
    cpuMicrosPerSecond = (fleet.protocolNanos() - protocolNanosBefore) / 1e3 / LOSSY_SECONDS / size;
  }

  private void print(PrintStream out) {
    out.printf(
        Locale.ROOT,
        "%4d  %4d ms  %6.1f s  %9.1f  %9.0f  %5d, %4d  %11.1f  %8.1f  ",
        size,
        probeIntervalMillis,
        untilAllKnown.getMaxValue() / MILLIS_PER_SECOND,
        datagramsPerSecond,
        datagramsPerSecond * fleet.bytesPerDatagram(),
        maxDatagramsWhileLossy,
        fleet.maxDatagramsPerSecond(),
        fleet.falseSuspicions() * MINUTES_PER_HOUR / size,
        fleet.falseLosses() * MINUTES_PER_HOUR / size);
    out.printf(
        Locale.ROOT,
        "%6.1f, %.1f, %.1f s  %6.1f s  %6.1f s  %8.0f, %.1f, %.1f%n",
        untilCrashKnown.getValueAtPercentile(50) / MILLIS_PER_SECOND,
        untilCrashKnown.getValueAtPercentile(99) / MILLIS_PER_SECOND,
        untilCrashKnown.getMaxValue() / MILLIS_PER_SECOND,
        untilJoinKnown.getValueAtPercentile(99) / MILLIS_PER_SECOND,
        untilHealed.getValueAtPercentile(99) / MILLIS_PER_SECOND,
        cpuMicrosPerSecond,
        fleet.encodeMicros(),
        fleet.decodeMicros());
  }

  private void report(ExperimentReport result) {
    String prefix = size + "_" + probeIntervalMillis + "ms";
    result
        .figure(prefix + "_codec_us_sent", Math.round(fleet.encodeMicros() * 10) / 10.0)
        .figure(prefix + "_codec_us_read", Math.round(fleet.decodeMicros() * 10) / 10.0)
        .figure(prefix + "_datagrams_a_second", Math.round(datagramsPerSecond * 10) / 10.0)
        .figure(
            prefix + "_bytes_a_second", Math.round(datagramsPerSecond * fleet.bytesPerDatagram()))
        .figure(prefix + "_crash_p99_ms", untilCrashKnown.getValueAtPercentile(99))
        .figure(prefix + "_healed_p99_ms", untilHealed.getValueAtPercentile(99))
        .figure(prefix + "_false_losses_an_hour", fleet.falseLosses() * MINUTES_PER_HOUR / size)
        .bar(
            prefix + ": every view is complete at the end",
            untilHealed.getMaxValue() < MAX_HEALED_NANOS / Simulation.NANOS_PER_MILLI)
        .bar(
            prefix + ": at most 60 datagrams in any second of the lossy minute",
            maxDatagramsWhileLossy <= MAX_LOSSY_DATAGRAMS)
        .bar(
            prefix + ": at most 120 datagrams in any second",
            fleet.maxDatagramsPerSecond() <= MAX_DATAGRAMS);
  }
}
