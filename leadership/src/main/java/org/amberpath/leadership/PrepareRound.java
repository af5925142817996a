package org.amberpath.leadership;

import java.util.Set;
import java.util.TreeSet;

/**
 * The prepare round of one ballot: the voters that have promised, and the highest ballot that they
 * accepted before.
 */
final class PrepareRound {
  private final Set<String> promises = new TreeSet<>();
  private long lastAcceptedBallot;

  /**
   * Whether a voter that promised has no record of an accepted ballot, so that the last leader is
   * uncertain.
   */
  private boolean lastLeaderUncertain;

  /** Records a voter's promise. Returns false if the promise is already recorded. */
  boolean addPromise(String voter, long previouslyAcceptedBallot) {
    if (!promises.add(voter)) {
      return false;
    }
    lastAcceptedBallot = Math.max(lastAcceptedBallot, previouslyAcceptedBallot);
    lastLeaderUncertain |= previouslyAcceptedBallot == 0;
    return true;
  }

  Set<String> promises() {
    return promises;
  }

  /** Clears the promises, but keeps what they reported about the last leader. */
  void clearPromises() {
    promises.clear();
  }

  /**
   * Returns whether the leader of this term is the last that was elected. Guards against a stop
   * notice of an earlier leader, and against a voter that lost its record of the last one in a
   * restart.
   */
  boolean isLastLeader(long term) {
    return term > 0 && term == lastAcceptedBallot && !lastLeaderUncertain;
  }
}
