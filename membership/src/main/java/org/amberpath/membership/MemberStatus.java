package org.amberpath.membership;

/**
 * The status of a member. Of two updates with the same incarnation, the one whose status is
 * declared later takes precedence. The ordinals are written to the wire.
 */
public enum MemberStatus {
  /** The member is not suspected: no probe of it failed, or it refuted the suspicion. */
  ALIVE,
  /** A probe of the member failed; it still counts as present and may refute the suspicion. */
  SUSPECTED,
  /** The member did not refute a suspicion in time; it is still counted and may come back. */
  LOST,
  /** The member announced that it leaves, or an operator reported that it will not come back. */
  LEFT
}
