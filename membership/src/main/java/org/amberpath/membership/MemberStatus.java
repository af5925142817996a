package org.amberpath.membership;

/**
 * The status of a member. Of two updates under one incarnation, the one with the later status takes
 * precedence. The order is also the form on the wire.
 */
public enum MemberStatus {
  /** It answers, or nobody has accused it. */
  ALIVE,
  /** A probe of it failed; it is still present, and may refute the suspicion. */
  SUSPECTED,
  /** It did not refute a suspicion in time. It is still counted, and may come back. */
  LOST,
  /** It left in order, or an operator said that it is not coming back. */
  LEFT
}
