package org.amberpath.leadership;

/**
 * The phase of a process in the election of {@link QuorumLeadership}. The phases up to HOLDING
 * follow one another; from each the process may return to FOLLOWING, and RESIGNED is final.
 */
enum QuorumPhase {
  /** This process has no election in progress. */
  FOLLOWING(Leadership.State.FOLLOWING),
  /** The prepare round of a ballot is open. */
  PREPARING(Leadership.State.ASKING),
  /** A quorum has promised; the accept round is open. */
  PROPOSING(Leadership.State.ASKING),
  /** A quorum has accepted the lease; the actions of former leaders may not have ended yet. */
  WAITING(Leadership.State.WAITING),
  /** Leads until its lease expires; accept rounds renew the lease. */
  HOLDING(Leadership.State.HOLDING),
  /** No longer stands for election. */
  RESIGNED(Leadership.State.RESIGNED);

  private final Leadership.State state;

  QuorumPhase(Leadership.State state) {
    this.state = state;
  }

  /** The state that callers of {@link Leadership#state} see. */
  Leadership.State state() {
    return state;
  }

  boolean isCandidate() {
    return state == Leadership.State.ASKING;
  }

  boolean hasLease() {
    return this == WAITING || this == HOLDING;
  }
}
