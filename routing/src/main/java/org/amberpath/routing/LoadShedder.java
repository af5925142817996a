package org.amberpath.routing;

import java.util.SplittableRandom;

/**
 * How many GETs a gateway that is out of CPU takes a turn: what it takes it can answer, the rest is
 * shed as soon as it is told from anything else, before it is read and decided in full. Told when a
 * turn of the loop begins and how late that is; times are nanoseconds.
 *
 * <p>One late turn is a pause (a collection, CPU that went elsewhere) and sheds nothing: only turns
 * that are late one after the other are a load that can't be borne. Then the GETs of a turn are
 * halved while turns are late and grow by one while they are not, until for some time none had to
 * be shed.
 */
public final class LoadShedder {
  private static final long MS = 1_000_000L;

  /**
   * What a turn always takes: so few GETs are not why it was late, and a gateway with little
   * traffic sheds none.
   */
  private static final int LEAST = 8;

  private static final long LATE = 15 * MS, SUSTAINED = 100 * MS, CALM = 500 * MS;

  private final long longestWait;
  private final SplittableRandom random;
  private long lateSince = Long.MIN_VALUE, shedAt;
  private int taken, shed, allowed = Integer.MAX_VALUE;

  /**
   * Clients that are shed are told to stay away for longestWait at most; 0 where they can't be
   * told.
   */
  public LoadShedder(long seed, long longestWait) {
    this.longestWait = longestWait;
    random = new SplittableRandom(seed);
  }

  /** A turn begins, late by so much. */
  public void turnStarted(long now, long late) {
    if (late <= LATE) {
      lateSince = Long.MIN_VALUE;
      shedAt = shed > 0 ? now : shedAt;
      if (isShedding()) {
        allowed = now - shedAt > CALM ? Integer.MAX_VALUE : allowed + 1;
      }
    } else if (lateSince == Long.MIN_VALUE) {
      lateSince = now;
    } else if (now - lateSince >= SUSTAINED) {
      allowed = Math.max(LEAST, Math.min(allowed, taken) / 2);
      shedAt = now;
    }
    taken = 0;
    shed = 0;
  }

  /** Whether one more GET is taken in this turn. */
  public boolean tryAdmit() {
    if (taken < allowed) {
      taken++;
      return true;
    }
    shed++;
    return false;
  }

  /** Whether GETs beyond some a turn are shed. */
  public boolean isShedding() {
    return allowed < Integer.MAX_VALUE;
  }

  /**
   * How long a client that was shed stays away, or 0: spread, so that not all come back at once.
   */
  public long retryAfterNanos() {
    return longestWait < 2 ? 0 : longestWait / 2 + random.nextLong(longestWait / 2);
  }
}
