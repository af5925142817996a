package org.amberpath.leadership;

import java.util.Set;
import java.util.TreeSet;

/**
 * Accept rounds of a candidate, or of a leader that renews its lease; at most one round is open.
 * Rounds are numbered, also under the same ballot, so that a late acceptance of an earlier round,
 * whose lease expires sooner, does not count for a later round.
 */
final class AcceptRound {
  private final Set<String> acceptances = new TreeSet<>();
  private long number;
  private boolean open;

  /** Starts the next round. */
  void start() {
    number++;
    open = true;
    acceptances.clear();
  }

  /** Closes the round: further acceptances do not count. */
  void close() {
    open = false;
  }

  long number() {
    return number;
  }

  /**
   * Records a voter's acceptance of the round of this number. Returns false if that round is not
   * open, or if the voter's acceptance is already recorded.
   */
  boolean addAcceptance(String voter, long roundNumber) {
    return open && roundNumber == number && acceptances.add(voter);
  }

  Set<String> acceptances() {
    return acceptances;
  }
}
