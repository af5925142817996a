package org.amberpath.routing;

import java.util.SplittableRandom;

/**
 * How many requests a gateway that is out of CPU admits a turn of its event loop: those it can
 * answer. The rest is rejected as early as a request can be told from other messages, before it is
 * decoded and decided in full. Times are nanoseconds; all calls come on the event loop.
 *
 * <p>A single late turn is a pause (a garbage collection, CPU that went elsewhere) and rejects
 * nothing; only a run of late turns is an overload. Then the requests of a turn are halved while
 * turns are late and grow by one while they are not, until none was rejected for some time. Source:
 * docs/design.md, "Out of CPU".
 */
public final class LoadShedder {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * What a turn always admits: so few requests do not make it late, and a gateway with little
   * traffic rejects none.
   */
  private static final int MIN_REQUESTS_PER_TURN = 8;

  /** A turn that began later than this is late. */
  private static final long LATE_NANOS = 15 * NANOS_PER_MILLI;

  /** After late turns for so long the gateway is overloaded. */
  private static final long OVERLOAD_NANOS = 100 * NANOS_PER_MILLI;

  /** After so long without a rejection the overload is over. */
  private static final long RECOVERY_NANOS = 500 * NANOS_PER_MILLI;

  private static final long NONE = Long.MIN_VALUE;
  private static final int UNLIMITED = Integer.MAX_VALUE;

  private final long maxRetryAfterNanos;
  private final SplittableRandom random;

  /** Since when every turn was late; {@link #NONE} after one that was not. */
  private long lateSinceNanos = NONE;

  private long rejectedAtNanos;
  private int admittedThisTurn;
  private int rejectedThisTurn;
  private int maxRequestsPerTurn = UNLIMITED;

  /**
   * A shedder that rejects nothing yet.
   *
   * @param seed of the spread of {@link #retryAfterNanos}
   * @param maxRetryAfterNanos the longest wait that a rejection may ask for; 0 where it may ask for
   *     none
   */
  public LoadShedder(long seed, long maxRetryAfterNanos) {
    this.maxRetryAfterNanos = maxRetryAfterNanos;
    random = new SplittableRandom(seed);
  }

  /** A turn of the event loop begins, late by so much. */
  public void turnStarted(long nowNanos, long lateNanos) {
    if (lateNanos <= LATE_NANOS) {
      lateSinceNanos = NONE;
      rejectedAtNanos = rejectedThisTurn > 0 ? nowNanos : rejectedAtNanos;
      if (isShedding()) {
        boolean isOver = nowNanos - rejectedAtNanos > RECOVERY_NANOS;
        maxRequestsPerTurn = isOver ? UNLIMITED : maxRequestsPerTurn + 1;
      }
    } else if (lateSinceNanos == NONE) {
      lateSinceNanos = nowNanos;
    } else if (nowNanos - lateSinceNanos >= OVERLOAD_NANOS) {
      maxRequestsPerTurn =
          Math.max(MIN_REQUESTS_PER_TURN, Math.min(maxRequestsPerTurn, admittedThisTurn) / 2);
      rejectedAtNanos = nowNanos;
    }
    admittedThisTurn = 0;
    rejectedThisTurn = 0;
  }

  /** Admits one more request in this turn, or counts it as rejected; returns whether it may run. */
  public boolean tryAdmit() {
    if (admittedThisTurn < maxRequestsPerTurn) {
      admittedThisTurn++;
      return true;
    }
    rejectedThisTurn++;
    return false;
  }

  /** Whether the requests of a turn are limited. */
  public boolean isShedding() {
    return maxRequestsPerTurn < UNLIMITED;
  }

  /**
   * How long the client of a rejected request is asked to wait, or 0 for no advice. Random within
   * the upper half of the maximum: guards against all clients coming back at once.
   */
  public long retryAfterNanos() {
    return maxRetryAfterNanos < 2
        ? 0
        : maxRetryAfterNanos / 2 + random.nextLong(maxRetryAfterNanos / 2);
  }
}
