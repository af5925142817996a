package org.amberpath.lab;

import java.util.SplittableRandom;

/**
 * A process on a virtual clock: it has a clock of its own that is off and runs fast or slow, ends
 * and starts anew, and stands still; what is due meanwhile happens when it wakes, and what was
 * meant for an earlier life never does.
 */
public abstract class VirtualProcess {
  private static final long MS = 1_000_000, OFF = 300 * MS;
  private static final double DRIFT = 0.9e-3;

  protected final long offset;
  protected final double speed;
  public boolean up;
  public long frozenUntil, life;
  private final VirtualScheduler agenda;
  private final long start;

  /** One that does not run yet, with a clock by chance. */
  protected VirtualProcess(VirtualScheduler agenda, long start, SplittableRandom chance) {
    this.agenda = agenda;
    this.start = start;
    offset = chance.nextLong(-OFF, OFF);
    speed = 1 + (chance.nextDouble() - 0.5) * 2 * DRIFT;
  }

  /** Its own clock. */
  public final long clock() {
    return start + offset + (long) ((agenda.now() - start) * speed);
  }

  /** Runs something of this life at a time, or when it wakes. */
  public final void at(long time, Runnable what) {
    long of = life;
    agenda.at(
        time,
        () -> {
          if (up && life == of) {
            if (agenda.now() < frozenUntil) {
              at(frozenUntil, what);
            } else {
              what.run();
            }
          }
        });
  }
}
