package org.amberpath.leadership;

/**
 * Whether this process leads a named task now. Two implementations: {@link RegistryLeadership} by a
 * lease in the registry, {@link QuorumLeadership} by votes. Times are nanoseconds of this process's
 * own monotonic clock.
 *
 * <p>Whoever acts for a task calls {@link #isLeader} when it decides and again when it sends: an
 * earlier result is worth nothing, since the process may have been suspended in between.
 */
public interface Leadership {
  /** Where a process is on the way to leadership. The admin endpoint shows the names. */
  enum State {
    /** Another process leads, or none does. */
    FOLLOWING,
    /** An election that this process has started is undecided. */
    ASKING,
    /** Elected; waits until what former leaders began has ended. */
    WAITING,
    /** Leads, and may act while its lease lasts. */
    HOLDING,
    /** Is shutting down, and stands for no election any more. */
    RESIGNED
  }

  /** The current state. */
  State state();

  /**
   * The term that it leads, or led last; 0 for none. It goes with every action as fencing token.
   */
  long term();

  /** Whether it may act for the task at this time. */
  boolean isLeader(long nowNanos);

  /** When its lease ends by its own clock, if it holds one. */
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

  /** Starts elections and renewals that are due, and ends a lease whose time is over. */
  void tick(long nowNanos);

  /** A recipient has refused this process's term for a higher one: it stands down. */
  void higherTermSeen(long nowNanos, long seenTerm);

  /** The leader of a term has stopped with nothing in flight: its successor need not wait. */
  void predecessorStopped(long nowNanos, long stoppedTerm);

  /** Gives the task up on an operator's request, and stands for no election for a lease. */
  void release(long nowNanos);

  /** Gives the task up for good: the process is shutting down, and nothing is in flight. */
  void resign(long nowNanos);
}
