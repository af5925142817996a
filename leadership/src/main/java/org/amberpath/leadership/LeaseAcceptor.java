package org.amberpath.leadership;

import java.util.Map;
import java.util.TreeMap;

/**
 * A voter of the quorum, the acceptor of PaxosLease (Trencseni, Gazso, Reinhardt 2012), without a
 * disk: a lease that it has accepted ends by itself, so one that has restarted votes for nobody
 * until the longest lease that it may have accepted before is over, and then has nothing to
 * remember.
 *
 * <p>Bounds: {@value #MAX_TASKS} tasks; messages on more get no answer. Times are nanoseconds of
 * the voter's own monotonic clock.
 */
public final class LeaseAcceptor {
  private static final int MAX_TASKS = 64;

  /** What was promised and accepted for one task. */
  private static final class Vote {
    private long promisedBallot;
    private String promisedTo = "";
    private long acceptedBallot;
    private String leaseHolder = "";
    private long leaseExpiresAtNanos;

    /** Whether another than this candidate holds the lease. */
    boolean isHeldByAnother(long nowNanos, String candidate) {
      return nowNanos < leaseExpiresAtNanos && !candidate.equals(leaseHolder);
    }

    /** Whether a promise forbids to vote for this candidate's ballot. */
    boolean isPromisedAgainst(long ballot, String candidate) {
      return ballot < promisedBallot || (ballot == promisedBallot && !candidate.equals(promisedTo));
    }

    void promise(long ballot, String candidate) {
      promisedBallot = ballot;
      promisedTo = candidate;
    }
  }

  private final LeaseTimings timings;
  private final long votesFromNanos;
  private final Map<String, Vote> votes = new TreeMap<>();

  /** A voter that has just started, and remembers nothing. */
  public LeaseAcceptor(LeaseTimings timings, long nowNanos) {
    this(timings, nowNanos, timings.longestNanos(timings.leaseNanos()));
  }

  /**
   * A voter that votes for nobody at first.
   *
   * @param silentNanos for how long; a model passes less than the longest lease to show what goes
   *     wrong then
   */
  public LeaseAcceptor(LeaseTimings timings, long nowNanos, long silentNanos) {
    this.timings = timings;
    votesFromNanos = nowNanos + silentNanos;
  }

  /** The answer to a candidate's message; null for none. */
  public LeaseMessage messageReceived(long nowNanos, String candidate, LeaseMessage message) {
    if (nowNanos < votesFromNanos) {
      return null;
    }
    Vote vote = votes.get(message.task());
    if (vote == null) {
      if (votes.size() == MAX_TASKS) {
        return null;
      }
      vote = new Vote();
      votes.put(message.task(), vote);
    }
    return switch (message.kind()) {
      case PREPARE -> prepare(nowNanos, vote, candidate, message);
      case PROPOSE -> accept(nowNanos, vote, candidate, message);
      case RELEASE -> {
        if (candidate.equals(vote.leaseHolder) && message.ballot() == vote.acceptedBallot) {
          vote.leaseExpiresAtNanos = nowNanos;
        }
        yield null;
      }
      default -> null;
    };
  }

  private static LeaseMessage prepare(
      long nowNanos, Vote vote, String candidate, LeaseMessage message) {
    if (vote.isHeldByAnother(nowNanos, candidate)) {
      // No promise is made. Guards a leader against candidates whose higher ballots would have its
      // lease renewal refused.
      return answer(LeaseMessage.Kind.PROMISE, message, vote.leaseExpiresAtNanos - nowNanos);
    }
    if (vote.isPromisedAgainst(message.ballot(), candidate)) {
      return answer(LeaseMessage.Kind.REFUSED, message, vote.promisedBallot);
    }
    vote.promise(message.ballot(), candidate);
    return new LeaseMessage(
        LeaseMessage.Kind.PROMISE, message.task(), message.ballot(), 0, vote.acceptedBallot);
  }

  private LeaseMessage accept(long nowNanos, Vote vote, String candidate, LeaseMessage message) {
    if (vote.isPromisedAgainst(message.ballot(), candidate)
        || vote.isHeldByAnother(nowNanos, candidate)) {
      return answer(LeaseMessage.Kind.REFUSED, message, vote.promisedBallot);
    }
    vote.promise(message.ballot(), candidate);
    vote.acceptedBallot = message.ballot();
    vote.leaseHolder = candidate;
    vote.leaseExpiresAtNanos = nowNanos + timings.longestNanos(timings.leaseNanos());
    return answer(LeaseMessage.Kind.ACCEPTED, message, message.other());
  }

  private static LeaseMessage answer(LeaseMessage.Kind kind, LeaseMessage message, long other) {
    return new LeaseMessage(kind, message.task(), message.ballot(), other);
  }
}
