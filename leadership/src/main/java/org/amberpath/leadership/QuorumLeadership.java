package org.amberpath.leadership;

import java.util.SplittableRandom;

/**
 * Leader election by a quorum of configured voters, without a registry or disks: the proposer of
 * PaxosLease. A candidate chooses a ballot above all that it knows and asks for promises (prepare
 * round); once a quorum has promised, it proposes its lease (accept round). A lease that a quorum
 * accepts lasts from when it was proposed, and expires before it does at the voters. A lease
 * renewal is another accept round under the same ballot.
 *
 * <p>The term is the ballot. It is at least the candidate's wall clock in milliseconds, so that it
 * also rises over a restart of all voters. If a clock was set back, recipients refuse the term and
 * report the highest that they have seen (fencing), and the next ballot is above that.
 */
public class QuorumLeadership implements Leadership {
  /** Sends messages to voters; messages may be lost, delayed or duplicated. */
  public interface Transport {
    /** Sends a message to a voter, which may be this process itself. */
    void send(String voter, LeaseMessage message);
  }

  /**
   * A lease expires early by the lease duration divided by this; elections are spread at random
   * over the same time.
   */
  private static final int MARGIN_DIVISOR = 8;

  /** A candidate gives an election up after the lease duration divided by this. */
  private static final int ELECTION_TIMEOUT_DIVISOR = 4;

  /** A leader renews its lease after the lease duration divided by this. */
  private static final int RENEWAL_DIVISOR = 3;

  /**
   * Higher positions in {@link CandidateOrder} count as this one, which bounds the delay before an
   * election.
   */
  private static final int MAX_CANDIDATE_POSITION = 4;

  /** The delay before an election is divided by this once the leader has stopped. */
  private static final int HANDOVER_DELAY_DIVISOR = 4;

  private final LeaseTimings timings;
  private final Transport transport;
  private final String task;
  private final SplittableRandom random;
  private final long marginNanos;
  private final AcceptRound acceptRound = new AcceptRound();
  private PrepareRound prepareRound = new PrepareRound();
  private VoterConfiguration voters;
  private QuorumPhase phase = QuorumPhase.FOLLOWING;
  private long ballot;
  private long term;
  private long highestBallotSeen;
  private long highestStoppedTerm;
  private long roundStartedNanos;
  private long leaseExpiresAtNanos;
  private long settledAtNanos;

  /** When the next election or lease renewal is due. */
  private long nextAttemptNanos;

  private long wallClockMillis;
  private int candidatePosition;

  /**
   * Creates a process that follows, and stands for election unless it learns of a leader.
   *
   * @param seed the seed of the random delays that keep candidates from standing at the same time
   */
  public QuorumLeadership(
      LeaseTimings timings,
      String task,
      VoterConfiguration voters,
      Transport transport,
      long seed,
      long nowNanos) {
    this.timings = timings;
    this.task = task;
    this.voters = voters;
    this.transport = transport;
    random = new SplittableRandom(seed);
    marginNanos = timings.leaseNanos() / MARGIN_DIVISOR;
    nextAttemptNanos = nowNanos + random.nextLong(marginNanos);
  }

  @Override
  public State state() {
    return phase.state();
  }

  @Override
  public long term() {
    return term;
  }

  @Override
  public boolean isLeader(long nowNanos) {
    return phase == QuorumPhase.HOLDING && nowNanos < leaseExpiresAtNanos;
  }

  @Override
  public long leaseExpiresAtNanos() {
    return leaseExpiresAtNanos;
  }

  /** Replaces the configuration of voters. Open rounds are discarded. */
  public void updateVoters(VoterConfiguration next) {
    voters = next;
    prepareRound.clearPromises();
    acceptRound.close();
    if (phase.isCandidate()) {
      enter(QuorumPhase.FOLLOWING);
    }
  }

  /** Sets the wall clock, in milliseconds, which is the least value of the next ballot. */
  public void wallClockRead(long millis) {
    wallClockMillis = millis;
  }

  /**
   * Sets this process's position in {@link CandidateOrder}: a process with a lower position stands
   * for election sooner.
   */
  public void updatePosition(int newPosition) {
    candidatePosition = Math.min(newPosition, MAX_CANDIDATE_POSITION);
  }

  @Override
  public long nextTickNanos() {
    return switch (phase) {
      case FOLLOWING -> nextAttemptNanos;
      case PREPARING, PROPOSING ->
          roundStartedNanos + timings.leaseNanos() / ELECTION_TIMEOUT_DIVISOR;
      case WAITING -> Math.min(Math.min(settledAtNanos, leaseExpiresAtNanos), nextAttemptNanos);
      case HOLDING -> Math.min(leaseExpiresAtNanos, nextAttemptNanos);
      case RESIGNED -> Long.MAX_VALUE;
    };
  }

  @Override
  public void tick(long nowNanos) {
    if (phase.hasLease() && nowNanos >= leaseExpiresAtNanos) {
      enter(QuorumPhase.FOLLOWING);
      nextAttemptNanos = nowNanos + electionDelayNanos();
    } else if (phase.isCandidate()
        && nowNanos - roundStartedNanos >= timings.leaseNanos() / ELECTION_TIMEOUT_DIVISOR) {
      // Guards against candidates that outbid one another indefinitely.
      enter(QuorumPhase.FOLLOWING);
      nextAttemptNanos = nowNanos + random.nextLong(timings.leaseNanos() / 2);
    }
    if (phase == QuorumPhase.FOLLOWING && nowNanos >= nextAttemptNanos) {
      startPrepareRound(nowNanos);
    } else if (phase.hasLease()) {
      if (phase == QuorumPhase.WAITING && nowNanos >= settledAtNanos) {
        enter(QuorumPhase.HOLDING);
      }
      if (nowNanos >= nextAttemptNanos) {
        startAcceptRound(nowNanos);
        nextAttemptNanos = nowNanos + timings.leaseNanos() / MARGIN_DIVISOR;
      }
    }
  }

  /** Changes the phase; nothing else assigns it. */
  private void enter(QuorumPhase next) {
    phase = next;
  }

  private void startPrepareRound(long nowNanos) {
    enter(QuorumPhase.PREPARING);
    ballot = Math.max(Math.max(highestBallotSeen, ballot) + 1, wallClockMillis);
    highestBallotSeen = ballot;
    prepareRound = new PrepareRound();
    acceptRound.close();
    roundStartedNanos = nowNanos;
    sendToVoters(LeaseMessage.Kind.PREPARE);
  }

  private void startAcceptRound(long nowNanos) {
    acceptRound.start();
    roundStartedNanos = nowNanos;
    sendToVoters(LeaseMessage.Kind.PROPOSE);
  }

  private void sendToVoters(LeaseMessage.Kind kind) {
    LeaseMessage message = new LeaseMessage(kind, task, ballot, acceptRound.number());
    voters.allVoters().forEach(voter -> transport.send(voter, message));
  }

  private long electionDelayNanos() {
    return candidatePosition * marginNanos + random.nextLong(marginNanos);
  }

  /**
   * Processes a voter's answer. Late or duplicate answers and those of processes that are not
   * voters have no effect, except that a refusal always raises the highest ballot seen.
   */
  public void responseReceived(long nowNanos, String voter, LeaseMessage response) {
    if (response.kind() == LeaseMessage.Kind.REFUSED) {
      highestBallotSeen = Math.max(highestBallotSeen, response.detail());
    }
    boolean matchesCurrentBallot = response.ballot() == ballot && response.task().equals(task);
    if (!matchesCurrentBallot || !voters.allVoters().contains(voter)) {
      return;
    }
    if (response.kind() == LeaseMessage.Kind.PROMISE && phase == QuorumPhase.PREPARING) {
      promiseReceived(nowNanos, voter, response);
    } else if (response.kind() == LeaseMessage.Kind.ACCEPTED
        && acceptRound.addAcceptance(voter, response.detail())
        && voters.isMajority(acceptRound.acceptances())) {
      roundAccepted(nowNanos);
    }
  }

  private void promiseReceived(long nowNanos, String voter, LeaseMessage response) {
    if (response.detail() > 0) {
      // Another process holds the lease: the next election is due when that lease may
      // have expired.
      nextAttemptNanos =
          Math.max(nextAttemptNanos, nowNanos + response.detail() + electionDelayNanos());
    } else if (prepareRound.addPromise(voter, response.lastAcceptedBallot())
        && voters.isMajority(prepareRound.promises())) {
      enter(QuorumPhase.PROPOSING);
      startAcceptRound(nowNanos);
    }
  }

  /**
   * Handles the acceptance of the open round by a quorum: the election is won, or the lease
   * renewed.
   */
  private void roundAccepted(long nowNanos) {
    acceptRound.close();
    long expiresAtNanos =
        leaseStartNanos(roundStartedNanos, nowNanos)
            + timings.shortestNanos(timings.leaseNanos())
            - marginNanos;
    if (phase.isCandidate()) {
      if (nowNanos < expiresAtNanos) {
        term = ballot;
        enter(QuorumPhase.WAITING);
        settledAtNanos =
            nowNanos
                + (prepareRound.isLastLeader(highestStoppedTerm)
                    ? 0
                    : timings.longestNanos(timings.settleNanos()));
        extendLease(expiresAtNanos);
      } else {
        // Too late; another promise may still start a new accept round.
        enter(QuorumPhase.PREPARING);
      }
    } else if (phase.hasLease() && nowNanos < leaseExpiresAtNanos) {
      extendLease(expiresAtNanos);
    }
    tick(nowNanos);
  }

  private void extendLease(long expiresAtNanos) {
    leaseExpiresAtNanos = expiresAtNanos;
    nextAttemptNanos = roundStartedNanos + timings.leaseNanos() / RENEWAL_DIVISOR;
  }

  /**
   * Returns when the lease of an accepted round begins: when it was proposed, because the voters'
   * leases begin later. If it began any later, two processes could hold a lease at once; a model
   * overrides this method to show that.
   */
  protected long leaseStartNanos(long proposedAtNanos, long acceptedAtNanos) {
    return proposedAtNanos;
  }

  @Override
  public void higherTermSeen(long nowNanos, long seenTerm) {
    highestBallotSeen = Math.max(highestBallotSeen, seenTerm);
    if (phase != QuorumPhase.RESIGNED && term < seenTerm) {
      endLease(nowNanos);
      enter(QuorumPhase.FOLLOWING);
      nextAttemptNanos = nowNanos + random.nextLong(marginNanos);
    }
  }

  @Override
  public void predecessorStopped(long nowNanos, long stoppedTerm) {
    highestStoppedTerm = Math.max(highestStoppedTerm, stoppedTerm);
    if (phase == QuorumPhase.WAITING && prepareRound.isLastLeader(highestStoppedTerm)) {
      settledAtNanos = Math.min(settledAtNanos, nowNanos);
      tick(nowNanos);
    } else if (phase == QuorumPhase.FOLLOWING && stoppedTerm >= highestBallotSeen) {
      // Nobody leads: candidates need not wait for the lease that voters reported
      // before.
      nextAttemptNanos =
          Math.min(nextAttemptNanos, nowNanos + electionDelayNanos() / HANDOVER_DELAY_DIVISOR);
    }
  }

  @Override
  public void release(long nowNanos) {
    endLease(nowNanos);
    if (phase != QuorumPhase.RESIGNED) {
      enter(QuorumPhase.FOLLOWING);
    }
    nextAttemptNanos = nowNanos + timings.leaseNanos() + random.nextLong(marginNanos);
  }

  @Override
  public void resign(long nowNanos) {
    endLease(nowNanos);
    enter(QuorumPhase.RESIGNED);
  }

  private void endLease(long nowNanos) {
    if (phase.hasLease() && nowNanos < leaseExpiresAtNanos) {
      sendToVoters(LeaseMessage.Kind.RELEASE);
    }
    leaseExpiresAtNanos = nowNanos;
    acceptRound.close();
  }
}
