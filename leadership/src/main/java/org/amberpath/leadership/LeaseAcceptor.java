package org.amberpath.leadership;

import java.util.Map;
import java.util.TreeMap;

/**
 * A voter of the quorum: the acceptor of PaxosLease (Trencseni, Gazso, Reinhardt 2012). It stores
 * nothing on disk. Accepted leases expire, so a restarted voter does not vote until the longest
 * lease that it may have accepted before has expired, after which its lost state no longer matters.
 *
 * <p>Bounds: {@value #MAX_TASKS} tasks; messages on further tasks get no answer. Times are
 * nanoseconds of the voter's own monotonic clock.
 */
public final class LeaseAcceptor {
  private static final int MAX_TASKS = 64;

  /** The promise and the acceptance of a voter for one task. */
  private static final class Vote {
    private long promisedBallot;
    private String promisedTo = "";
    private long acceptedBallot;
    private String leaseHolder = "";
    private long leaseExpiresAtNanos;

    /** Whether a process other than this candidate holds the lease. */
    boolean isHeldByAnother(long nowNanos, String candidate) {
      return nowNanos < leaseExpiresAtNanos && !candidate.equals(leaseHolder);
    }

    /** Whether an earlier promise forbids a vote for this candidate's ballot. */
    boolean isPromisedAgainst(long ballot, String candidate) {
      return ballot < promisedBallot || (ballot == promisedBallot && !candidate.equals(promisedTo));
    }

    void promise(long ballot, String candidate) {
      promisedBallot = ballot;
      promisedTo = candidate;
    }
  }

  private final LeaseTimings timings;
  private final long votingStartsAtNanos;
  private final Map<String, Vote> votes = new TreeMap<>();

  /** Creates a voter that has just started, and does not vote for the longest lease. */
  public LeaseAcceptor(LeaseTimings timings, long nowNanos) {
    this(timings, nowNanos, timings.longestNanos(timings.leaseNanos()));
  }

  /**
   * Creates a voter that does not vote at first.
   *
   * @param nonVotingNanos how long the voter does not vote; a model passes less than the longest
   *     lease to show which invariant that violates
   */
  public LeaseAcceptor(LeaseTimings timings, long nowNanos, long nonVotingNanos) {
    this.timings = timings;
    votingStartsAtNanos = nowNanos + nonVotingNanos;
  }

  /** Processes a candidate's message and returns the answer; null for none. */
  public LeaseMessage messageReceived(long nowNanos, String candidate, LeaseMessage message) {
    if (nowNanos < votingStartsAtNanos) {
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
      // No promise is made. Guards against candidates with higher ballots, because of
      // which the voter would refuse the leader's lease renewal.
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
    return answer(LeaseMessage.Kind.ACCEPTED, message, message.detail());
  }

  private static LeaseMessage answer(LeaseMessage.Kind kind, LeaseMessage message, long detail) {
    return new LeaseMessage(kind, message.task(), message.ballot(), detail);
  }
}
