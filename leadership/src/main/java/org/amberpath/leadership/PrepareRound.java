package org.amberpath.leadership;

import java.util.Set;
import java.util.TreeSet;

/** The prepare round of one ballot: who has promised, and which ballot was accepted before. */
final class PrepareRound {
  private final Set<String> promises = new TreeSet<>();
  private long lastAcceptedBallot;

  /** Whether a voter remembers no ballot that it accepted: then the last leader is uncertain. */
  private boolean lastLeaderUncertain;

  /** Counts a voter's promise; false if it is counted already. */
  boolean addPromise(String voter, long acceptedBefore) {
    if (!promises.add(voter)) {
      return false;
    }
    lastAcceptedBallot = Math.max(lastAcceptedBallot, acceptedBefore);
    lastLeaderUncertain |= acceptedBefore == 0;
    return true;
  }

  Set<String> promises() {
    return promises;
  }

  /** Forgets the promises, but not what they said of the last leader. */
  void clearPromises() {
    promises.clear();
  }

  /**
   * Whether the leader of this term is the last that was elected. Guards against a report of an
   * older leader than the last, and against a voter that has forgotten who was the last.
   */
  boolean isLastLeader(long term) {
    return term > 0 && term == lastAcceptedBallot && !lastLeaderUncertain;
  }
}
