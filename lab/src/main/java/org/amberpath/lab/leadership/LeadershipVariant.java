package org.amberpath.lab.leadership;

/** How tasks are led in the model: the implementation, and wrong ways that the model must catch. */
public enum LeadershipVariant {
  /** As implemented. */
  RIGHT,

  /** The lowest name alive leads; no leases. */
  LOWEST_ALIVE,

  /** A lease is counted from the voters' answer in place of from the request. */
  BELIEF_FROM_ANSWER,

  /** A voter that has restarted votes at once. */
  NO_WAIT_AFTER_RESTART,

  /** A leader does not look at its lease again before it sends. */
  NO_SECOND_LOOK,

  /** Recipients compare no terms. */
  NO_FENCE
}
