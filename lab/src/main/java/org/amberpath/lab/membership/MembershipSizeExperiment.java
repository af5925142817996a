package org.amberpath.lab.membership;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;
import org.amberpath.membership.runtime.DatagramCodec;
import org.amberpath.membership.runtime.HmacKeyring;

/**
 * What a fleet's view costs and how soon it knows, by the fleet's size, on the virtual clock: a
 * start of all, a minute of five datagrams lost in a hundred, a crash, a join, a partition's
 * healing. Beside it, heartbeats to all.
 */
public final class MembershipSizeExperiment {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
  private static final long MAX_EXTRA_DELAY_NANOS = 2 * NANOS_PER_MILLI;
  private static final long MAX_MILLIS = 1_000_000;
  private static final long PARTITION_NANOS = 20 * NANOS_PER_SECOND;
  private static final int CODEC_SAMPLE_ONE_IN = 64;
  private static final int TICKS_PER_PERIOD = 5;
  private static final int SEED_MEMBERS = 3;
  private static final double LOSS_RATE = 0.05;

  /** One size and setting; figures of it. */
  private static final class SimulatedFleet {
    final SplittableRandom random;
    final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
    final SwimTimings timings;
    final int memberCount;
    final DatagramCodec codec = new DatagramCodec("size", 10);
    final HmacKeyring keyring = HmacKeyring.of("k1", new byte[32]);
    final List<SimulatedMember> members = new ArrayList<>();
    long datagramCount;
    long sampledDatagrams;
    long sampledBytes;
    long protocolNanos;
    long maxDatagramsPerSecond;
    long encodeNanos;
    long decodeNanos;
    double lossRate;
    boolean partitioned;
    int falseLossCount;
    int falseSuspicionCount;
    boolean countsFalseAlarms;

    SimulatedFleet(long seed, int memberCount, long probeIntervalNanos) {
      random = new SplittableRandom(seed);
      this.memberCount = memberCount;
      timings = SwimTimings.withProbeInterval(memberCount, probeIntervalNanos);
      for (int index = 0; index < memberCount; index++) {
        members.add(new SimulatedMember(index));
      }
    }

    /** One gateway. */
    final class SimulatedMember implements SwimProtocol.Output {
      final int index;
      final String name;
      final String address;
      SwimProtocol protocol;
      ReplayFilter replayFilter;
      long currentSecond;
      long sentInSecond;

      SimulatedMember(int index) {
        this.index = index;
        name = "gateway-" + index;
        address = "10." + (index >> 16) + "." + (index >> 8 & 255) + "." + (index & 255) + ":7946";
      }

      void restart() {
        long instanceId = random.nextLong();
        long nowNanos = scheduler.nowNanos();
        List<String> seeds =
            members.subList(0, Math.min(SEED_MEMBERS, memberCount)).stream()
                .map(member -> member.address)
                .toList();
        replayFilter = new ReplayFilter(instanceId, timings.probeIntervalNanos(), nowNanos);
        protocol =
            new SwimProtocol(
                timings,
                new MemberUpdate(
                    name,
                    address,
                    nowNanos / NANOS_PER_SECOND,
                    instanceId,
                    MemberStatus.ALIVE,
                    name),
                seeds,
                random.nextLong(),
                nowNanos,
                this);
        SwimProtocol current = protocol;
        scheduler.schedule(
            nowNanos + random.nextLong(timings.probeIntervalNanos() / TICKS_PER_PERIOD),
            () -> tick(current));
      }

      private void tick(SwimProtocol expected) {
        if (protocol == expected) {
          long sinceNanos = System.nanoTime();
          protocol.tick(scheduler.nowNanos());
          protocolNanos += System.nanoTime() - sinceNanos;
          scheduler.schedule(
              scheduler.nowNanos() + timings.probeIntervalNanos() / TICKS_PER_PERIOD,
              () -> tick(expected));
        }
      }

      private void receive(GossipMessage message) {
        if (protocol == null) {
          return;
        }
        long sinceNanos = System.nanoTime();
        if (replayFilter.tryExamine(scheduler.nowNanos())) {
          switch (replayFilter.check(scheduler.nowNanos(), message)) {
            case TAKEN -> protocol.messageReceived(scheduler.nowNanos(), message);
            case GREETED -> protocol.greet(scheduler.nowNanos(), message.sender());
            default -> {}
          }
        }
        protocolNanos += System.nanoTime() - sinceNanos;
      }

      @Override
      public void send(String address, GossipMessage message) {
        sentInSecond =
            scheduler.nowNanos() / NANOS_PER_SECOND == currentSecond ? sentInSecond + 1 : 1;
        currentSecond = scheduler.nowNanos() / NANOS_PER_SECOND;
        maxDatagramsPerSecond = Math.max(maxDatagramsPerSecond, sentInSecond);
        datagramCount++;
        if (datagramCount % CODEC_SAMPLE_ONE_IN == 0) {
          sampledDatagrams++;
          long sinceNanos = System.nanoTime();
          byte[] datagram = codec.encode(message, keyring);
          long encodedNanos = System.nanoTime();
          codec.decode(datagram, keyring);
          encodeNanos += encodedNanos - sinceNanos;
          decodeNanos += System.nanoTime() - encodedNanos;
          sampledBytes += datagram.length;
        }
        String[] parts = address.substring(0, address.indexOf(':')).split("\\.", -1);
        SimulatedMember recipient =
            members.get(
                Integer.parseInt(parts[1]) << 16
                    | Integer.parseInt(parts[2]) << 8
                    | Integer.parseInt(parts[3]));
        if (random.nextDouble() >= lossRate && (!partitioned || index % 2 == recipient.index % 2)) {
          scheduler.schedule(
              scheduler.nowNanos() + NANOS_PER_MILLI / 5 + random.nextLong(MAX_EXTRA_DELAY_NANOS),
              () -> recipient.receive(message));
        }
      }

      @Override
      public void memberStatusChanged(String memberName, MemberStatus status) {
        falseSuspicionCount += countsFalseAlarms && status == MemberStatus.SUSPECTED ? 1 : 0;
        falseLossCount += countsFalseAlarms && status == MemberStatus.LOST ? 1 : 0;
      }

      @Override
      public void phaseChanged(SwimProtocol.Phase before, SwimProtocol.Phase after) {}

      @Override
      public void nameConflictDetected(String address) {}
    }

    void runFor(long durationNanos) {
      long endNanos = scheduler.nowNanos() + durationNanos;
      while (scheduler.runNext(endNanos)) {
        // The condition does the work.
      }
    }

    /**
     * Plays on until each that runs holds so many for there; the times at which each did, in ms.
     */
    Histogram runUntilPresent(int presentCount, long maxNanos) {
      Histogram millisUntilPresent = new Histogram(MAX_MILLIS, 3);
      List<SimulatedMember> waiting =
          new ArrayList<>(members.stream().filter(member -> member.protocol != null).toList());
      long beganNanos = scheduler.nowNanos();
      while (!waiting.isEmpty() && scheduler.nowNanos() - beganNanos < maxNanos) {
        runFor(timings.probeIntervalNanos() / TICKS_PER_PERIOD);
        long ms = (scheduler.nowNanos() - beganNanos) / NANOS_PER_MILLI;
        waiting.removeIf(
            member -> {
              boolean complete = member.protocol.presentCount() == presentCount;
              if (complete) {
                millisUntilPresent.recordValue(ms);
              }
              return complete;
            });
      }
      waiting.forEach(member -> millisUntilPresent.recordValue(maxNanos / NANOS_PER_MILLI));
      return millisUntilPresent;
    }
  }

  private MembershipSizeExperiment() {}

  /** Plays each size with each period (ms), and prints a row for each. */
  public static ExperimentReport run(
      long seed, List<Integer> sizes, List<Integer> periods, PrintStream out) {
    ExperimentReport result = new ExperimentReport(seed);
    out.println(
        "figures of one gateway; suspicions and losses that it hears of, of such as run, at 5 %"
            + " loss");
    out.println(
        "size  period  all known  datagrams/s  bytes/s  most/s, ever  suspicions/h  losses/h  crash"
            + " p50, p99, max   join p99  healed p99   CPU us/s a gateway, codec us a datagram"
            + " sent, read");
    for (int size : sizes) {
      for (long probeInterval : periods) {
        measureRow(
            new SimulatedFleet(seed, size, probeInterval * NANOS_PER_MILLI),
            size,
            probeInterval * NANOS_PER_MILLI,
            result,
            out);
      }
      double heartbeats = size - 1;
      out.printf(
          Locale.ROOT,
          "%4d  heartbeats to all, one each 0.5 s, lost after 5 missed: %.0f datagrams/s, "
              + "%.0f bytes/s a gateway; crash heard of after 2.5 to 3 s by each%n",
          size,
          2 * heartbeats,
          2 * heartbeats * HEARTBEAT_BYTES);
    }
    return result;
  }

  /** A datagram that says no more than who sends it: what the form's header and its MAC take. */
  private static final int HEARTBEAT_BYTES = 130;

  private static void measureRow(
      SimulatedFleet fleet,
      int size,
      long probeInterval,
      ExperimentReport result,
      PrintStream out) {
    for (SimulatedFleet.SimulatedMember member : fleet.members) {
      fleet.scheduler.schedule(
          EPOCH_NANOS + fleet.random.nextLong(2 * NANOS_PER_SECOND), member::restart);
    }
    fleet.runFor(2 * NANOS_PER_SECOND);
    Histogram untilAllKnown = fleet.runUntilPresent(size, 300 * NANOS_PER_SECOND);
    fleet.runFor(20 * NANOS_PER_SECOND);
    long datagramsBefore = fleet.datagramCount;
    long protocolNanosBefore = fleet.protocolNanos;
    fleet.maxDatagramsPerSecond = 0;
    fleet.lossRate = LOSS_RATE;
    fleet.countsFalseAlarms = true;
    fleet.runFor(60 * NANOS_PER_SECOND);
    fleet.countsFalseAlarms = false;
    long maxWhileLossy = fleet.maxDatagramsPerSecond;
    double datagramsPerSecond = (fleet.datagramCount - datagramsBefore) / 60.0 / size;
    double cpuMicrosPerSecond = (fleet.protocolNanos - protocolNanosBefore) / 1e3 / 60 / size;
    fleet.lossRate = 0;
    fleet.runFor(5 * NANOS_PER_SECOND);
    fleet.members.get(size - 1).protocol = null;
    Histogram untilCrashKnown = fleet.runUntilPresent(size - 1, 300 * NANOS_PER_SECOND);
    fleet.members.get(size - 1).restart();
    Histogram untilJoinKnown = fleet.runUntilPresent(size, 300 * NANOS_PER_SECOND);
    fleet.partitioned = true;
    fleet.runFor(PARTITION_NANOS);
    fleet.partitioned = false;
    Histogram untilHealed = fleet.runUntilPresent(size, 600 * NANOS_PER_SECOND);
    double bytesPerDatagram = fleet.sampledBytes / (double) Math.max(1, fleet.sampledDatagrams);
    double encodeMicros = fleet.encodeNanos / 1e3 / Math.max(1, fleet.sampledDatagrams);
    double decodeMicros = fleet.decodeNanos / 1e3 / Math.max(1, fleet.sampledDatagrams);
    String prefix = size + "_" + probeInterval / NANOS_PER_MILLI + "ms";
    out.printf(
        Locale.ROOT,
        "%4d  %4d ms  %6.1f s  %9.1f  %9.0f  %5d, %4d  %11.1f  %8.1f  ",
        size,
        probeInterval / NANOS_PER_MILLI,
        untilAllKnown.getMaxValue() / 1e3,
        datagramsPerSecond,
        datagramsPerSecond * bytesPerDatagram,
        maxWhileLossy,
        fleet.maxDatagramsPerSecond,
        fleet.falseSuspicionCount * 60.0 / size,
        fleet.falseLossCount * 60.0 / size);
    out.printf(
        Locale.ROOT,
        "%6.1f, %.1f, %.1f s  %6.1f s  %6.1f s  %8.0f, %.1f, %.1f%n",
        untilCrashKnown.getValueAtPercentile(50) / 1e3,
        untilCrashKnown.getValueAtPercentile(99) / 1e3,
        untilCrashKnown.getMaxValue() / 1e3,
        untilJoinKnown.getValueAtPercentile(99) / 1e3,
        untilHealed.getValueAtPercentile(99) / 1e3,
        cpuMicrosPerSecond,
        encodeMicros,
        decodeMicros);
    result
        .figure(prefix + "_codec_us_sent", Math.round(encodeMicros * 10) / 10.0)
        .figure(prefix + "_codec_us_read", Math.round(decodeMicros * 10) / 10.0)
        .figure(prefix + "_datagrams_a_second", Math.round(datagramsPerSecond * 10) / 10.0)
        .figure(prefix + "_bytes_a_second", Math.round(datagramsPerSecond * bytesPerDatagram))
        .figure(prefix + "_crash_p99_ms", untilCrashKnown.getValueAtPercentile(99))
        .figure(prefix + "_healed_p99_ms", untilHealed.getValueAtPercentile(99))
        .figure(prefix + "_false_losses_an_hour", fleet.falseLossCount * 60.0 / size)
        .bar(prefix + ": all know all in the end", untilHealed.getMaxValue() < 600_000)
        .bar(prefix + ": under 60 datagrams in any second of the lossy minute", maxWhileLossy <= 60)
        .bar(prefix + ": under 120 in any second", fleet.maxDatagramsPerSecond <= 120);
  }
}
