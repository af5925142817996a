package org.amberpath.leadership;

/**
 * Leader election for one named task, as one process takes part in it. It has two implementations:
 * {@link RegistryLeadership} by a lease in the registry, {@link QuorumLeadership} by a lease from a
 * quorum of voters. Times are nanoseconds of this process's own monotonic clock.
 *
 * <p>Code that acts for a task calls {@link #isLeader} when it decides and again when it sends: the
 * process may have been suspended in between, so an earlier result may be out of date.
 */
public interface Leadership {
  /** The election state of a process. The admin endpoint shows the names of the constants. */
  enum State {
    /** Another process leads, or none does. */
    FOLLOWING,
    /** This process has started an election that is undecided. */
    ASKING,
    /** Elected, but waits until the actions of former leaders have ended. */
    WAITING,
    /** Leads, and may act while its lease lasts. */
    HOLDING,
    /** Shutting down, and no longer stands for election. */
    RESIGNED
  }

  /** The current state. */
  State state();

  /**
   * The term that this process leads, or led last; 0 for none. Every action carries it as the
   * fencing token.
   */
  long term();

  /** Whether this process may act for the task at this time. */
  boolean isLeader(long nowNanos);

  /** When the lease of this process expires by its own clock, if it holds one. */
  long leaseExpiresAtNanos();

  /**
   * Whether an action of this duration will have ended before another process may lead.
   *
   * @param durationNanos the longest that the action can take
   */
  default boolean isLeaderFor(long nowNanos, long durationNanos) {
    return isLeader(nowNanos) && nowNanos + durationNanos < leaseExpiresAtNanos();
  }

  /** When {@link #tick} is due next; {@link Long#MAX_VALUE} for never. */
  long nextTickNanos();

  /** Starts elections and renewals that are due, and ends a lease that has expired. */
  void tick(long nowNanos);

  /**
   * Records the term that a recipient reported when it refused this process's term. This process
   * steps down if that term is higher than its own.
   */
  void higherTermSeen(long nowNanos, long seenTerm);

  /**
   * Records that the leader of a term has stopped with nothing in flight, so that its successor
   * need not wait.
   */
  void predecessorStopped(long nowNanos, long stoppedTerm);

  /**
   * Gives the task up on an operator's request, and does not stand for election for one lease
   * duration.
   */
  void release(long nowNanos);

  /**
   * Gives the task up permanently, because the process shuts down. During a drain it is called once
   * nothing is in flight.
   */
  void resign(long nowNanos);
}
