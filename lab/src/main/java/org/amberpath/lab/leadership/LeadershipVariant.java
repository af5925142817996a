package org.amberpath.lab.leadership;

/**
 * Variants of leader election in the model: the implementation, and faulty ones whose faults the
 * model must detect.
 */
public enum LeadershipVariant {
  /** The implementation. */
  RIGHT,

  /**
   * The gateway with the lowest name among those that send heartbeats leads; there are no leases.
   */
  LOWEST_ALIVE,

  /** The candidate counts its lease from the voters' answer instead of from its request. */
  BELIEF_FROM_ANSWER,

  /**
   * A restarted voter votes at once, without waiting for the leases that it granted before to
   * expire.
   */
  NO_WAIT_AFTER_RESTART,

  /** A leader does not check its lease a second time before it sends an effect. */
  NO_SECOND_LOOK,

  /** Recipients compare no terms. */
  NO_FENCE,

  /**
   * The candidate takes each answer of the registry for the answer to its latest campaign, and so
   * counts a lease that an earlier campaign won from a later time.
   */
  LEASE_FROM_LATEST_CAMPAIGN
}
