package org.amberpath.leadership;

/**
 * Whether a named task is this process's own for now. Two sources tell: a lease in the registry,
 * and votes. Times are nanoseconds of this process's own clock.
 *
 * <p>Whoever acts asks {@link #isLeader} in the moment of acting and again in the moment of
 * sending: belief from before is worth nothing, since the process may have stood still in between.
 */
public interface Leadership {
  /**
   * FOLLOWING: another owns it, or nobody. ASKING: a try is out. WAITING: owns it, and lets what
   * older owners began run out first. HOLDING: may act. RESIGNED: is to end, and tries no more.
   */
  enum State {
    FOLLOWING,
    ASKING,
    WAITING,
    HOLDING,
    RESIGNED
  }

  State state();

  /** The term of what it holds, or held last; it goes with all that is done. */
  long term();

  /** Whether it may act at this very time. */
  boolean isLeader(long now);

  /** Until when it believes to own it, if it does. */
  long leaseExpiresAtNanos();

  /** Whether something that takes this long will be over before another may own the task. */
  default boolean isLeaderFor(long now, long time) {
    return isLeader(now) && now + time < leaseExpiresAtNanos();
  }

  /** When {@link #tick} is due next. */
  long nextTickNanos();

  void tick(long now);

  /** A recipient has seen a higher term: this one's is over, and the next is above that. */
  void higherTermSeen(long now, long seen);

  /** The owner of this term has stopped, and told all that it did: there is nothing to wait for. */
  void predecessorStopped(long now, long ofTerm);

  /** By hand: lets the task go, and leaves it to others for the time of a lease. */
  void release(long now);

  /** It is to end: the task is let go once nothing more is done. */
  void resign(long now);
}
