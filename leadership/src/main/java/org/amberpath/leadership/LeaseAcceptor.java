package org.amberpath.leadership;

import java.util.Map;
import java.util.TreeMap;

/**
 * Votes on who owns which task, without a disk, after PaxosLease (Trencseni, Gazso, Reinhardt
 * 2012): what a voter has accepted is over by itself after the lease, so one that has forgotten all
 * votes for nobody until the longest lease that it may have promised is over, and then has nothing
 * to remember.
 *
 * <p>Bounds: {@value #MOST} tasks; more are refused. Times are nanoseconds of the voter's own
 * clock.
 */
public final class LeaseAcceptor {
  private static final int MOST = 64;

  private static final class Held {
    long promised, accepted, until;
    String to = "", by = "";
  }

  private final LeaseTimings rules;
  private final long mutedUntil;
  private final Map<String, Held> tasks = new TreeMap<>();

  /** A voter that has just started, and remembers nothing. */
  public LeaseAcceptor(LeaseTimings rules, long now) {
    this(rules, now, rules.longestNanos(rules.leaseNanos()));
  }

  /**
   * One that votes for nobody for so long: less than the rules have it is a model's way to show
   * why.
   */
  public LeaseAcceptor(LeaseTimings rules, long now, long muted) {
    this.rules = rules;
    mutedUntil = now + muted;
  }

  /** The answer to a candidate's message; null where there is none. */
  public LeaseMessage messageReceived(long now, String by, LeaseMessage vote) {
    if (now < mutedUntil) {
      return null;
    }
    Held held = tasks.get(vote.task());
    if (held == null) {
      if (tasks.size() == MOST) {
        return null;
      }
      held = new Held();
      tasks.put(vote.task(), held);
    }
    boolean owned = now < held.until;
    boolean bound =
        vote.ballot() < held.promised || (vote.ballot() == held.promised && !by.equals(held.to));
    return switch (vote.kind()) {
      case PREPARE -> {
        if (owned && !by.equals(held.by)) {
          // Binds itself to nobody. Guards an owner against candidates whose numbers would refuse
          // its renewal.
          yield new LeaseMessage(
              LeaseMessage.Kind.PROMISE, vote.task(), vote.ballot(), held.until - now);
        }
        if (bound) {
          yield new LeaseMessage(
              LeaseMessage.Kind.REFUSED, vote.task(), vote.ballot(), held.promised);
        }
        held.promised = vote.ballot();
        held.to = by;
        yield new LeaseMessage(
            LeaseMessage.Kind.PROMISE, vote.task(), vote.ballot(), 0, held.accepted);
      }
      case PROPOSE -> {
        if (bound || (owned && !by.equals(held.by))) {
          yield new LeaseMessage(
              LeaseMessage.Kind.REFUSED, vote.task(), vote.ballot(), held.promised);
        }
        held.promised = vote.ballot();
        held.to = by;
        held.accepted = vote.ballot();
        held.by = by;
        held.until = now + rules.longestNanos(rules.leaseNanos());
        yield new LeaseMessage(
            LeaseMessage.Kind.ACCEPTED, vote.task(), vote.ballot(), vote.other());
      }
      case RELEASE -> {
        if (by.equals(held.by) && vote.ballot() == held.accepted) {
          held.until = now;
        }
        yield null;
      }
      default -> null;
    };
  }
}
