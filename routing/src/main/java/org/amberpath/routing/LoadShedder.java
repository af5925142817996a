package org.amberpath.routing;

import java.util.SplittableRandom;

/**
 * Limits the requests that a gateway admits in one turn of its event loop to those that it can
 * serve, when it is out of CPU. The others are rejected as early as a request can be distinguished
 * from other messages, before it is fully decoded and routed. Times are nanoseconds; all calls come
 * on the event loop.
 *
 * <p>A single late turn is a pause (a garbage collection, or CPU time that went to other processes)
 * and causes no rejection; only a run of late turns is an overload. Then the number of requests per
 * turn is halved while turns are late and grows by one per turn while they are not, until no
 * request has been rejected for {@code RECOVERY_NANOS}. Source: docs/design.md, "Out of CPU".
 */
public final class LoadShedder {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Lower bound of the limit: this many requests do not make a turn late, and a gateway with little
   * traffic rejects none.
   */
  private static final int MIN_REQUESTS_PER_TURN = 8;

  /** A turn that begins later than scheduled by more than this is late. */
  private static final long LATE_NANOS = 15 * NANOS_PER_MILLI;

  /** A gateway is overloaded once all turns have been late for this long. */
  private static final long OVERLOAD_NANOS = 100 * NANOS_PER_MILLI;

  /** The overload has ended once no request has been rejected for this long. */
  private static final long RECOVERY_NANOS = 500 * NANOS_PER_MILLI;

  private static final long NOT_LATE = Long.MIN_VALUE;
  private static final int UNLIMITED = Integer.MAX_VALUE;

  private final long maxRetryAfterNanos;
  private final SplittableRandom random;

  /** Time since which every turn has been late; {@link #NOT_LATE} after one that was not. */
  private long lateSinceNanos = NOT_LATE;

  private long lastRejectedAtNanos;
  private int admittedThisTurn;
  private int rejectedThisTurn;
  private int maxRequestsPerTurn = UNLIMITED;

  /**
   * Creates a load shedder that does not limit requests yet.
   *
   * @param seed seed of the random part of {@link #retryAfterNanos}
   * @param maxRetryAfterNanos the longest wait that a rejection may recommend; 0 to recommend none
   */
  public LoadShedder(long seed, long maxRetryAfterNanos) {
    this.maxRetryAfterNanos = maxRetryAfterNanos;
    random = new SplittableRandom(seed);
  }

  /**
   * Begins a turn of the event loop and adjusts the limit.
   *
   * @param lateNanos by how much the turn began later than scheduled; 0 or more
   */
  public void turnStarted(long nowNanos, long lateNanos) {
    if (lateNanos <= LATE_NANOS) {
      lateSinceNanos = NOT_LATE;
      lastRejectedAtNanos = rejectedThisTurn > 0 ? nowNanos : lastRejectedAtNanos;
      if (isShedding()) {
        boolean hasRecovered = nowNanos - lastRejectedAtNanos > RECOVERY_NANOS;
        maxRequestsPerTurn = hasRecovered ? UNLIMITED : maxRequestsPerTurn + 1;
      }
    } else if (lateSinceNanos == NOT_LATE) {
      lateSinceNanos = nowNanos;
    } else if (nowNanos - lateSinceNanos >= OVERLOAD_NANOS) {
      maxRequestsPerTurn =
          Math.max(MIN_REQUESTS_PER_TURN, Math.min(maxRequestsPerTurn, admittedThisTurn) / 2);
      lastRejectedAtNanos = nowNanos;
    }
    admittedThisTurn = 0;
    rejectedThisTurn = 0;
  }

  /**
   * Admits one more request in this turn or counts it as rejected; returns whether it is admitted.
   */
  public boolean tryAdmit() {
    if (admittedThisTurn < maxRequestsPerTurn) {
      admittedThisTurn++;
      return true;
    }
    rejectedThisTurn++;
    return false;
  }

  /** Whether the number of requests per turn is limited. */
  public boolean isShedding() {
    return maxRequestsPerTurn < UNLIMITED;
  }

  /**
   * Returns the wait that is recommended to the client of a rejected request; 0 for no
   * recommendation. The wait is random within the upper half of the maximum. Guards against all
   * clients retrying at the same time.
   */
  public long retryAfterNanos() {
    return maxRetryAfterNanos < 2
        ? 0
        : maxRetryAfterNanos / 2 + random.nextLong(maxRetryAfterNanos / 2);
  }
}
