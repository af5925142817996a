package org.amberpath.membership;

/**
 * The local health multiplier of Lifeguard: how far this process has reason to doubt itself. It
 * rises when this process is accused, hears from nobody that it asked, or stood still, and falls
 * with each answered probe. A doubtful process waits longer before it accuses another.
 *
 * <p>Bounds: the score is 0 to {@value #MAX_SCORE}.
 */
final class LocalHealth {
  private static final int MAX_SCORE = 6;

  private int score;

  void improve() {
    score = Math.max(0, score - 1);
  }

  void worsen() {
    score = Math.min(MAX_SCORE, score + 1);
  }

  /** After a standstill: what was not heard proves nothing. */
  void worsenToMaximum() {
    score = MAX_SCORE;
  }

  /** A timeout, lengthened by the score. */
  long scale(long timeoutNanos) {
    return timeoutNanos * (1 + score);
  }
}
