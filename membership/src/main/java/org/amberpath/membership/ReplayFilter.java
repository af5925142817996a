package org.amberpath.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which datagrams reach a {@link SwimProtocol}: none that was recorded before, none meant
 * for another process or for one that ran here before, and not more than a bounded number, in all
 * and of each sender.
 *
 * <p>A datagram is believed if it names this process's instance id, which is drawn at random at its
 * start: what was sent to an older process, also before the whole fleet was restarted, is worth
 * nothing now. One that names no instance id or another is greeted, so that its sender learns of
 * this one. Of those that are believed each sequence number counts once, as in the anti-replay
 * window of RFC 4303.
 *
 * <p>Bounds: {@value #MAX_SENDERS} senders, those heard last. Times are nanoseconds of the
 * gateway's own clock. For one thread.
 */
public final class ReplayFilter {
  /** What becomes of a datagram. */
  public enum Verdict {
    /** It is believed. */
    TAKEN,
    /** It is for another process; its sender may be told of this one. */
    GREETED,
    /** It came before, or is so old that it may have. */
    REPEATED,
    /** Its sender, or senders that are greeted, sent too many in this period. */
    TOO_MANY
  }

  private static final int MAX_SENDERS = 4000;
  private static final int WINDOW_BITS = Long.SIZE;
  private static final int MAX_EXAMINED_PER_PERIOD = 2000;
  private static final int MAX_PER_SENDER_AND_PERIOD = 60;
  private static final int MAX_GREETED_PER_PERIOD = 8;

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
  private int greeted;

  /** What was received of one process. */
  private static final class Sender {
    private long highestSequenceNumber;

    /** Bit n is set where the n-th number below the highest was received. */
    private long receivedWindow;

    private long periodStartNanos;
    private int received;
  }

  /**
   * A filter that has seen nothing.
   *
   * @param ownInstanceId that of this process
   * @param periodNanos for which the bounds hold
   */
  public ReplayFilter(long ownInstanceId, long periodNanos, long nowNanos) {
    this.ownInstanceId = ownInstanceId;
    this.periodNanos = periodNanos;
    periodStartNanos = nowNanos;
  }

  /**
   * Whether one more datagram may be examined; to be called before anything of it is checked.
   * Bounds what strangers cost.
   */
  public boolean tryExamine(long nowNanos) {
    if (nowNanos - periodStartNanos > periodNanos) {
      periodStartNanos = nowNanos;
      examined = 0;
      greeted = 0;
    }
    return ++examined <= MAX_EXAMINED_PER_PERIOD;
  }

  /** What becomes of a message whose signature was verified. */
  public Verdict check(long nowNanos, GossipMessage message) {
    return check(
        nowNanos,
        message.sender().instanceId(),
        message.recipientInstanceId(),
        message.sequenceNumber());
  }

  /** The same of any datagram that names its sender, its recipient and its sequence number. */
  public Verdict check(
      long nowNanos, long senderInstanceId, long recipientInstanceId, long sequenceNumber) {
    if (recipientInstanceId != ownInstanceId) {
      return ++greeted <= MAX_GREETED_PER_PERIOD ? Verdict.GREETED : Verdict.TOO_MANY;
    }
    Sender sender = senders.computeIfAbsent(senderInstanceId, added -> new Sender());
    if (nowNanos - sender.periodStartNanos > periodNanos) {
      sender.periodStartNanos = nowNanos;
      sender.received = 0;
    }
    if (++sender.received > MAX_PER_SENDER_AND_PERIOD) {
      return Verdict.TOO_MANY;
    }
    return isNew(sender, sequenceNumber) ? Verdict.TAKEN : Verdict.REPEATED;
  }

  /** Whether this number was not received before; marks it as received. */
  private static boolean isNew(Sender sender, long sequenceNumber) {
    long ahead = sequenceNumber - sender.highestSequenceNumber;
    if (sequenceNumber > sender.highestSequenceNumber) {
      sender.receivedWindow = ahead >= WINDOW_BITS ? 1 : sender.receivedWindow << ahead | 1;
      sender.highestSequenceNumber = sequenceNumber;
      return true;
    }
    long bit = ahead <= 0 && ahead > -WINDOW_BITS ? 1L << -ahead : 0;
    boolean repeated = bit == 0 || (sender.receivedWindow & bit) != 0;
    sender.receivedWindow |= bit;
    return !repeated;
  }
}
