package org.amberpath.membership;

/**
 * What is said of a gateway. Of two sayings under one incarnation, the later in this order holds.
 */
public enum MemberStatus {
  ALIVE,
  SUSPECTED,
  LOST,
  LEFT
}
