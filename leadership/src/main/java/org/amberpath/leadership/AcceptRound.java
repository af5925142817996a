package org.amberpath.leadership;

import java.util.Set;
import java.util.TreeSet;

/**
 * The accept rounds of a candidate, or of a leader that renews its lease: one at a time. Each has a
 * number of its own, also under the same ballot, so that a late acceptance of an earlier round,
 * whose lease ends sooner, does not count for a later one.
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

  /** Ends the round: it is complete, or void. */
  void close() {
    open = false;
  }

  long number() {
    return number;
  }

  /** Counts a voter's acceptance of a round; false if it is of none that is open, or counted. */
  boolean addAcceptance(String voter, long ofNumber) {
    return open && ofNumber == number && acceptances.add(voter);
  }

  Set<String> acceptances() {
    return acceptances;
  }
}
