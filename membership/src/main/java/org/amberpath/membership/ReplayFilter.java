package org.amberpath.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is let in to a {@link SwimProtocol} of the datagrams that come: none that was recorded
 * before, none meant for another process or for one that ran here before, and not more than a
 * bounded number, in all and of each sender.
 *
 * <p>A datagram is believed if it names this process's birth, which is drawn by chance at its
 * start: what was sent to an older process, also before the whole fleet was restarted, is worth
 * nothing now. One that names no birth or another is greeted, so that its sender learns of this
 * one. Of those that are believed each serial counts once, as in the anti-replay window of RFC
 * 4303.
 *
 * <p>Bounds: {@value #MOST_SENDERS} senders, the ones heard last. Times are nanoseconds of the
 * gateway's own clock.
 */
public final class ReplayFilter {
  /** What becomes of a datagram. */
  public enum Verdict {
    TAKEN,
    GREETED,
    REPEATED,
    TOO_MANY
  }

  private static final int MOST_SENDERS = 4000, WINDOW = Long.SIZE;

  /** A period: datagrams that are looked at, of one sender that are let in, and greetings. */
  private static final int MOST = 2000, MOST_OF_ONE = 60, MOST_GREETINGS = 8;

  private final long own, period;
  private final Map<Long, Sender> senders =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Sender> eldest) {
          return size() > MOST_SENDERS;
        }
      };
  private long since;
  private int looked, greeted;

  private static final class Sender {
    long last, seen, since;
    int come;
  }

  /** A door that nobody has come to, of the process of one birth. */
  public ReplayFilter(long own, long period, long now) {
    this.own = own;
    this.period = period;
    since = now;
  }

  /**
   * Whether one more may be looked at, before anything of it is checked: bounds what strangers
   * cost.
   */
  public boolean tryExamine(long now) {
    if (now - since > period) {
      since = now;
      looked = 0;
      greeted = 0;
    }
    return ++looked <= MOST;
  }

  /** What becomes of one whose sender is proved. */
  public Verdict check(long now, GossipMessage message) {
    return check(
        now,
        message.sender().instanceId(),
        message.recipientInstanceId(),
        message.sequenceNumber());
  }

  /** The same of anything that names its sender's birth, whom it is for, and its serial. */
  public Verdict check(long now, long birth, long to, long serial) {
    if (to != own) {
      return ++greeted <= MOST_GREETINGS ? Verdict.GREETED : Verdict.TOO_MANY;
    }
    Sender sender = senders.computeIfAbsent(birth, made -> new Sender());
    if (now - sender.since > period) {
      sender.since = now;
      sender.come = 0;
    }
    if (++sender.come > MOST_OF_ONE) {
      return Verdict.TOO_MANY;
    }
    long ahead = serial - sender.last;
    if (serial > sender.last) {
      sender.seen = ahead >= WINDOW ? 1 : sender.seen << ahead | 1;
      sender.last = serial;
      return Verdict.TAKEN;
    }
    long bit = ahead <= 0 && ahead > -WINDOW ? 1L << -ahead : 0;
    boolean repeated = bit == 0 || (sender.seen & bit) != 0;
    sender.seen |= bit;
    return repeated ? Verdict.REPEATED : Verdict.TAKEN;
  }
}
