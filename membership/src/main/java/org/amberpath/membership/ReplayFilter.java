package org.amberpath.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Filters received datagrams before they reach a {@link SwimProtocol}: limits the rate of datagrams
 * that are decoded, then rejects verified datagrams that are replayed, addressed to another process
 * or above the rate limit of their sender.
 *
 * <p>A datagram is accepted only if it is addressed to this process's instance id, which is drawn
 * at random when the process starts. Datagrams that were recorded before a restart, even a restart
 * of the complete fleet, are therefore rejected. The sender of a datagram with another or no
 * instance id is sent a greeting, from which it learns the current instance id. Each sequence
 * number of a sender is accepted once, as in the anti-replay window of RFC 4303.
 *
 * <p>Bounds: {@value #MAX_SENDERS} senders, of which the least recently received is evicted. Times
 * are nanoseconds of the gateway's own clock. Not thread-safe.
 */
public final class ReplayFilter {
  /** The decision on one datagram. */
  public enum Verdict {
    /** The datagram is accepted. */
    ACCEPTED,
    /** The datagram is addressed to another process; its sender may be sent a greeting. */
    WRONG_RECIPIENT,
    /** The sequence number was received before, or is older than the anti-replay window. */
    REPLAYED,
    /** The rate limit of the sender, or of greetings, is exceeded in this probe interval. */
    RATE_LIMITED
  }

  private static final int MAX_SENDERS = 4000;
  private static final int WINDOW_BITS = Long.SIZE;
  private static final int MAX_EXAMINED_PER_PERIOD = 2000;
  private static final int MAX_PER_SENDER_AND_PERIOD = 60;
  private static final int MAX_GREETINGS_PER_PERIOD = 8;

  private final long ownInstanceId;
  private final long periodNanos;
  private final Map<Long, Sender> senders =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Sender> eldest) {
          return size() > MAX_SENDERS;
        }
      };
  private long periodStartNanos;
  private int examined;
  private int greetings;

  /** The anti-replay window and the datagram count of one sending process. */
  private static final class Sender {
    private long highestSequenceNumber;

    /** Bit n is set if the sequence number that is n below the highest was received. */
    private long receivedWindow;

    private long periodStartNanos;
    private int datagramsInPeriod;
  }

  /**
   * Creates a filter that has received no datagrams.
   *
   * @param ownInstanceId the instance id of this process
   * @param periodNanos the length of the window of the rate limits, in nanoseconds
   * @param nowNanos the current time, at which the first window begins
   */
  public ReplayFilter(long ownInstanceId, long periodNanos, long nowNanos) {
    this.ownInstanceId = ownInstanceId;
    this.periodNanos = periodNanos;
    periodStartNanos = nowNanos;
  }

  /**
   * Counts a received datagram, and returns whether it may be decoded and verified. Must be called
   * before any other check of the datagram. Bounds the cost of datagrams from senders without a
   * valid key.
   */
  public boolean tryExamine(long nowNanos) {
    if (nowNanos - periodStartNanos > periodNanos) {
      periodStartNanos = nowNanos;
      examined = 0;
      greetings = 0;
    }
    return ++examined <= MAX_EXAMINED_PER_PERIOD;
  }

  /** Decides on a message whose signature was verified. */
  public Verdict check(long nowNanos, GossipMessage message) {
    return check(
        nowNanos,
        message.sender().instanceId(),
        message.recipientInstanceId(),
        message.sequenceNumber());
  }

  /** Decides on a verified datagram by its sender, recipient and sequence number. */
  public Verdict check(
      long nowNanos, long senderInstanceId, long recipientInstanceId, long sequenceNumber) {
    if (recipientInstanceId != ownInstanceId) {
      return ++greetings <= MAX_GREETINGS_PER_PERIOD
          ? Verdict.WRONG_RECIPIENT
          : Verdict.RATE_LIMITED;
    }
    Sender sender = senders.computeIfAbsent(senderInstanceId, added -> new Sender());
    if (nowNanos - sender.periodStartNanos > periodNanos) {
      sender.periodStartNanos = nowNanos;
      sender.datagramsInPeriod = 0;
    }
    if (++sender.datagramsInPeriod > MAX_PER_SENDER_AND_PERIOD) {
      return Verdict.RATE_LIMITED;
    }
    return markReceived(sender, sequenceNumber) ? Verdict.ACCEPTED : Verdict.REPLAYED;
  }

  /** Marks a sequence number as received, and returns whether it is new within the window. */
  private static boolean markReceived(Sender sender, long sequenceNumber) {
    long distance = sequenceNumber - sender.highestSequenceNumber;
    if (sequenceNumber > sender.highestSequenceNumber) {
      sender.receivedWindow = distance >= WINDOW_BITS ? 1 : sender.receivedWindow << distance | 1;
      sender.highestSequenceNumber = sequenceNumber;
      return true;
    }
    long bit = distance <= 0 && distance > -WINDOW_BITS ? 1L << -distance : 0;
    boolean repeated = bit == 0 || (sender.receivedWindow & bit) != 0;
    sender.receivedWindow |= bit;
    return !repeated;
  }
}
