package org.amberpath.leadership;

/** The last known state of a task's key in the registry, and the terms that were used. */
final class ObservedKey {
  private long term;
  private long revision;
  private boolean vacant;

  /**
   * The term before the current one, whose leader's actions have to end before the current leader
   * acts.
   */
  private long previousTerm;

  /**
   * The highest term known to be used; a registry that was restored from a backup may hold a lower
   * one.
   */
  private long highestUsedTerm;

  /**
   * Applies an observed state of the key. Returns false if the state is older than the known one.
   */
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

  /** Records that this process holds the key under this term. */
  void acquired(long ownTerm) {
    if (ownTerm != term) {
      previousTerm = term;
    }
    term = ownTerm;
    vacant = false;
  }

  /**
   * Records that the registry was restored to an older state: its lower terms are accepted again,
   * but {@link #nextTerm} stays above all used ones.
   */
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
