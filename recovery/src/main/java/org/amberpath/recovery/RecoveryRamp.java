package org.amberpath.recovery;

import java.util.SplittableRandom;

/**
 * In which order a gateway opens that has come back with all others: how many GETs it lets in, by
 * what came back in time of those that it let in before. Told the time, in nanoseconds; it decides
 * on no cache and no source.
 *
 * <p>LEARNING: lists and purges are not known yet, or whether others ran before; all is shed.
 * TRICKLE: as many as its part of the cold budgets bears. RAMP: as many as came back in time, and
 * half as many again each half second. SERVING: all, once nothing had to be shed for two seconds,
 * or at once where others ran on or caches are warm.
 */
public final class RecoveryRamp {
  /** The phases, in order; none is entered again in one life. */
  public enum Phase {
    LEARNING,
    TRICKLE,
    RAMP,
    SERVING
  }

  private static final long MS = 1_000_000, SECOND = 1000 * MS, STEP = 500 * MS, CALM = 2 * SECOND;
  private static final long LONGEST_LEARNING = 3 * SECOND, LEAST_AWAY = 100 * MS;
  private static final double MORE = 1.5, WELL = 0.8, BADLY = 0.5, BOUND = 0.8, BURST_S = 0.25;
  private final long longestWait, began;
  private final SplittableRandom chance;
  private Phase phase = Phase.LEARNING;
  private double first, rate, tokens;
  private long filledAt, stepAt, lastShedAt, servingSinceNanos;
  private int taken, takenBefore, good, shed, shedBefore;

  /**
   * A start; those that are turned away are told to stay away for longestWait at most, 0 where they
   * can't be told.
   */
  public RecoveryRamp(long seed, long longestWait, long now) {
    chance = new SplittableRandom(seed);
    this.longestWait = longestWait;
    began = now;
  }

  public Phase phase() {
    return phase;
  }

  /** How many GETs a second are let in now. */
  public double rate() {
    return phase == Phase.SERVING ? Double.MAX_VALUE : phase == Phase.LEARNING ? 0 : rate;
  }

  /**
   * Lists and purges are known, or their sources have failed.
   *
   * @param loss whether all came back together, by peers' word and by caches that are cold
   * @param bears GETs a second that this gateway's part of the cold budgets bears
   */
  public void startupCompleted(long now, boolean loss, double bears) {
    if (phase == Phase.LEARNING) {
      phase = loss ? Phase.TRICKLE : Phase.SERVING;
      servingSinceNanos = loss ? 0 : now;
      first = rate = Math.max(1, bears);
      tokens = 1;
      filledAt = stepAt = lastShedAt = now;
    }
  }

  /**
   * Several times a step. Guards against a source that neither answers nor fails: then it opens by
   * what it has.
   */
  public void tick(long now) {
    if (phase == Phase.LEARNING && now - began >= LONGEST_LEARNING) {
      startupCompleted(now, true, 1);
    }
    if (phase == Phase.TRICKLE || phase == Phase.RAMP) {
      if (now - lastShedAt >= CALM) {
        phase = Phase.SERVING;
        servingSinceNanos = now;
      } else if (now - stepAt >= STEP) {
        step(now);
      }
    }
  }

  private void step(long now) {
    double let = taken / ((now - stepAt) / 1e9), back = good / ((now - stepAt) / 1e9);
    // What was let in a step ago has come back by now, or is late.
    if (good >= WELL * Math.min(taken, takenBefore) && let >= BOUND * Math.min(rate, let + 1)) {
      phase = Phase.RAMP;
      rate = rate * MORE;
    } else if (good < BADLY * Math.min(taken, takenBefore)) {
      rate = Math.max(first, back * MORE);
    }
    takenBefore = taken;
    shedBefore = shed;
    taken = good = shed = 0;
    stepAt = now;
  }

  /** Whether one more is let in; viewings that are halfway before new ones. */
  public boolean tryAdmit(long now, boolean halfway) {
    if (phase == Phase.SERVING) {
      return true;
    }
    if (phase != Phase.LEARNING) {
      double most = 1 + rate * BURST_S;
      tokens = Math.min(most, tokens + rate * (now - filledAt) / 1e9);
      filledAt = now;
      if (tokens >= (halfway ? 1 : 1 + (most - 1) / 4)) {
        tokens--;
        taken++;
        return true;
      }
    }
    shed++;
    lastShedAt = now;
    return false;
  }

  /** One that was let in came back in time. */
  public void requestSucceeded() {
    good++;
  }

  /**
   * How long one that was turned away stays away, by what is turned away and what is let in;
   * spread.
   */
  public long retryAfterNanos(boolean halfway) {
    if (longestWait == 0) {
      return 0;
    }
    double backlog =
        Math.max(shed, shedBefore) / Math.max(1, phase == Phase.LEARNING ? 1 : rate) * 2;
    double longest = longestWait;
    long span = (long) Math.max(Math.min(LEAST_AWAY, longest), Math.min(longest, backlog * SECOND));
    long wait = span / 2 + chance.nextLong(Math.max(1, span / 2));
    return halfway ? wait / 2 : wait;
  }

  /** When it was SERVING at last; 0 before. */
  public long servingSinceNanos() {
    return servingSinceNanos;
  }
}
