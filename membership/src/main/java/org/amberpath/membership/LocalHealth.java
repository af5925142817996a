package org.amberpath.membership;

/**
 * The local health multiplier of Lifeguard. The score estimates how likely it is that this process,
 * and not the member it probes, is slow or unreachable. The score rises when another member
 * suspects this process, when members that were asked for an indirect probe do not reply, and when
 * this process was paused. It falls with each acknowledged probe. A higher score lengthens this
 * process's probe timeouts, so that it suspects other members later.
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

  /**
   * Sets the highest score after this process was paused, because messages that it did not receive
   * during the pause say nothing about their senders.
   */
  void worsenToMaximum() {
    score = MAX_SCORE;
  }

  /** Returns the timeout multiplied by one more than the score. */
  long scale(long timeoutNanos) {
    return timeoutNanos * (1 + score);
  }
}
