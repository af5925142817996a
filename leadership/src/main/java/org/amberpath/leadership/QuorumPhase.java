package org.amberpath.leadership;

/**
 * Where a process is in the election of {@link QuorumLeadership}. On the way to leadership the
 * phases follow one another; from each the process may fall back to FOLLOWING, and RESIGNED is
 * final.
 */
enum QuorumPhase {
  /** No election of this process is under way. */
  FOLLOWING(Leadership.State.FOLLOWING),
  /** The prepare round of a ballot is open. */
  PREPARING(Leadership.State.ASKING),
  /** A quorum has promised; the accept round is open. */
  PROPOSING(Leadership.State.ASKING),
  /** A quorum has accepted; what former leaders began runs out. */
  WAITING(Leadership.State.WAITING),
  /** Leads while its lease, which accept rounds renew, lasts. */
  HOLDING(Leadership.State.HOLDING),
  /** Stands for no election any more. */
  RESIGNED(Leadership.State.RESIGNED);

  private final Leadership.State state;

  QuorumPhase(Leadership.State state) {
    this.state = state;
  }

  /** What others see of it. */
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
