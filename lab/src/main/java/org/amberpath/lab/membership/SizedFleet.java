package org.amberpath.lab.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.SwimTimings;
import org.amberpath.membership.runtime.DatagramCodec;
import org.amberpath.membership.runtime.HmacKeyring;

/**
 * Simulated fleet of a given size and probe interval on a virtual clock; measures its datagrams,
 * bytes and CPU time.
 */
final class SizedFleet {
  private static final long MIN_DELAY_NANOS = Simulation.NANOS_PER_MILLI / 5;
  private static final long MAX_EXTRA_DELAY_NANOS = 2 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_START_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_MILLIS = 1_000_000;
  private static final int CODEC_SAMPLE_ONE_IN = 64;
  private static final int SEED_MEMBERS = 3;
  private static final int KEY_BYTES = 32;
  private static final int CODEC_MAX_UPDATES = 10;
  static final int TICKS_PER_PERIOD = 5;

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(Simulation.EPOCH_NANOS);
  private final SwimTimings timings;
  private final DatagramCodec codec = new DatagramCodec("size", CODEC_MAX_UPDATES);
  private final HmacKeyring keyring = HmacKeyring.of("k1", new byte[KEY_BYTES]);
  private final List<SizedFleetMember> members = new ArrayList<>();
  private long datagramCount;
  private long sampledDatagrams;
  private long sampledBytes;
  private long encodeNanos;
  private long decodeNanos;
  private long protocolNanos;
  private long maxDatagramsPerSecond;
  private double lossRate;
  private boolean partitioned;
  private boolean countingFalseAlarms;
  private int falseLosses;
  private int falseSuspicions;

  SizedFleet(long seed, int size, long probeIntervalNanos) {
    random = new SplittableRandom(seed);
    timings = SwimTimings.withProbeInterval(size, probeIntervalNanos);
    for (int index = 0; index < size; index++) {
      members.add(new SizedFleetMember(this, index));
    }
  }

  SplittableRandom random() {
    return random;
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  SwimTimings timings() {
    return timings;
  }

  List<SizedFleetMember> members() {
    return members;
  }

  List<String> seedAddresses() {
    return members.stream().limit(SEED_MEMBERS).map(SizedFleetMember::address).toList();
  }

  /** Starts all members at random times within two seconds. */
  void startAll() {
    for (SizedFleetMember member : members) {
      scheduler.scheduleAfter(random.nextLong(MAX_START_NANOS), member::restart);
    }
    runFor(MAX_START_NANOS);
  }

  void setLossRate(double rate) {
    lossRate = rate;
  }

  /** Partitions the fleet into two halves for a time, and runs it meanwhile. */
  void partitionFor(long durationNanos) {
    partitioned = true;
    runFor(durationNanos);
    partitioned = false;
  }

  void startCountingFalseAlarms() {
    countingFalseAlarms = true;
  }

  void stopCountingFalseAlarms() {
    countingFalseAlarms = false;
  }

  void resetMaxDatagrams() {
    maxDatagramsPerSecond = 0;
  }

  void addProtocolTime(long nanos) {
    protocolNanos += nanos;
  }

  void memberSuspected() {
    falseSuspicions += countingFalseAlarms ? 1 : 0;
  }

  void memberLost() {
    falseLosses += countingFalseAlarms ? 1 : 0;
  }

  long datagramCount() {
    return datagramCount;
  }

  /** Returns the largest number of datagrams that one member sent in a second. */
  long maxDatagramsPerSecond() {
    return maxDatagramsPerSecond;
  }

  /** Returns the elapsed real time spent in all members' protocols. */
  long protocolNanos() {
    return protocolNanos;
  }

  int falseLosses() {
    return falseLosses;
  }

  int falseSuspicions() {
    return falseSuspicions;
  }

  double bytesPerDatagram() {
    return sampledBytes / (double) Math.max(1, sampledDatagrams);
  }

  double encodeMicros() {
    return encodeNanos / 1e3 / Math.max(1, sampledDatagrams);
  }

  double decodeMicros() {
    return decodeNanos / 1e3 / Math.max(1, sampledDatagrams);
  }

  /**
   * Delivers a datagram unless it is lost or crosses a partition; one in {@value
   * #CODEC_SAMPLE_ONE_IN} is encoded and decoded to measure the codec.
   */
  void send(SizedFleetMember sender, int recipientIndex, GossipMessage message, long sentInSecond) {
    maxDatagramsPerSecond = Math.max(maxDatagramsPerSecond, sentInSecond);
    datagramCount++;
    if (datagramCount % CODEC_SAMPLE_ONE_IN == 0) {
      sample(message);
    }
    SizedFleetMember recipient = members.get(recipientIndex);
    boolean sameSide = sender.index() % 2 == recipientIndex % 2;
    if (random.nextDouble() >= lossRate && (!partitioned || sameSide)) {
      scheduler.scheduleAfter(
          MIN_DELAY_NANOS + random.nextLong(MAX_EXTRA_DELAY_NANOS),
          () -> recipient.receive(message));
    }
  }

  private void sample(GossipMessage message) {
    sampledDatagrams++;
    long startedNanos = System.nanoTime();
    byte[] datagram = codec.encode(message, keyring);
    long encodedNanos = System.nanoTime();
    codec.decode(datagram, keyring);
    encodeNanos += encodedNanos - startedNanos;
    decodeNanos += System.nanoTime() - encodedNanos;
    sampledBytes += datagram.length;
  }

  void runFor(long durationNanos) {
    scheduler.runUntil(scheduler.nowNanos() + durationNanos);
  }

  /**
   * Runs the fleet until every running member has a given number of members in its view, or for at
   * most the given time.
   *
   * @return for each running member, the time in milliseconds that it took; the maximum for those
   *     that did not get there
   */
  Histogram runUntilPresent(int presentCount, long maxNanos) {
    Histogram millisUntilPresent = new Histogram(MAX_MILLIS, 3);
    List<SizedFleetMember> waiting =
        new ArrayList<>(members.stream().filter(SizedFleetMember::isRunning).toList());
    long startedNanos = scheduler.nowNanos();
    while (!waiting.isEmpty() && scheduler.nowNanos() - startedNanos < maxNanos) {
      runFor(timings.probeIntervalNanos() / TICKS_PER_PERIOD);
      long millis = (scheduler.nowNanos() - startedNanos) / Simulation.NANOS_PER_MILLI;
      waiting.removeIf(
          member -> {
            boolean complete = member.presentCount() == presentCount;
            if (complete) {
              millisUntilPresent.recordValue(millis);
            }
            return complete;
          });
    }
    waiting.forEach(
        member -> millisUntilPresent.recordValue(maxNanos / Simulation.NANOS_PER_MILLI));
    return millisUntilPresent;
  }
}
