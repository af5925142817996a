package org.amberpath.leadership;

/** What is known of a task's key in the registry, and of the terms it has held. */
final class ObservedKey {
  private long term;
  private long revision;
  private boolean vacant;

  /** The term before the current one; what its leader began has to end first. */
  private long previousTerm;

  /** Terms up to here were used, whatever a restored registry says. */
  private long highestUsedTerm;

  /** Takes a state of the key; false for one that is older than what is known. */
  boolean update(long observedTerm, boolean held, long observedRevision) {
    if (observedTerm < term) {
      return false;
    }
    if (observedTerm > term) {
      previousTerm = term;
    }
    term = observedTerm;
    revision = observedRevision;
    vacant = !held;
    return true;
  }

  /** This process holds the key now, under this term. */
  void taken(long ownTerm) {
    if (ownTerm != term) {
      previousTerm = term;
    }
    term = ownTerm;
    vacant = false;
  }

  /** The registry went back to an older state: its terms count anew, and are skipped. */
  void restored() {
    termUsed(term);
    term = 0;
  }

  void termUsed(long usedTerm) {
    highestUsedTerm = Math.max(highestUsedTerm, usedTerm);
  }

  long nextTerm() {
    return Math.max(term, highestUsedTerm) + 1;
  }

  long previousTerm() {
    return previousTerm;
  }

  long revision() {
    return revision;
  }

  boolean isVacant() {
    return vacant;
  }
}
