package org.amberpath.gateway;

/**
 * When each step of a shutdown is due, so that all of them end before the kill that may follow
 * SIGTERM. Told the time, in nanoseconds, at each question: a loop that is late has less time left
 * for the later steps, not a later end.
 *
 * <p>Requests are taken as ever, then rejected, while those that were taken get their answers; what
 * is open just before the end gets an error. Once nothing is owed, or there is no time left for it,
 * nothing more is read and connections are half-closed; clients have some time to read, and the
 * process exits.
 */
final class ShutdownSchedule {
  /** The kill comes no sooner after SIGTERM than the longest deadline and this. */
  private static final long KILL_AFTER_DEADLINE_NANOS = 700_000_000;

  /**
   * How long before the kill the last answers are given, connections are half-closed, and the
   * process exits.
   */
  private static final long LAST_ANSWERS_BEFORE_KILL_NANOS = 250_000_000,
      HALF_CLOSE_BEFORE_KILL_NANOS = 215_000_000,
      EXIT_BEFORE_KILL_NANOS = 170_000_000;

  /**
   * And it waits for nothing any more. Guards against a runtime that takes 0.05 to 0.1 s to end
   * where CPU is short.
   */
  private static final long WAIT_BEFORE_KILL_NANOS = 140_000_000;

  /**
   * How long requests are taken as ever, and how long before the last answers no more, if that is
   * sooner.
   */
  private static final long ACCEPT_NANOS = 750_000_000,
      ACCEPT_BEFORE_LAST_ANSWERS_NANOS = 100_000_000;

  /** How long clients have to read their last answers, if there is as much time. */
  private static final long LINGER_NANOS = 350_000_000;

  private final long rejectAt, lastAnswersAt, halfCloseAt, exitAt, waitUntil;
  private long lingerUntil = Long.MAX_VALUE;

  /** SIGTERM came at a time, to a gateway whose requests have such a deadline at the longest. */
  ShutdownSchedule(long sigterm, long longestDeadline) {
    long kill = sigterm + longestDeadline + KILL_AFTER_DEADLINE_NANOS;
    lastAnswersAt = kill - LAST_ANSWERS_BEFORE_KILL_NANOS;
    halfCloseAt = kill - HALF_CLOSE_BEFORE_KILL_NANOS;
    exitAt = kill - EXIT_BEFORE_KILL_NANOS;
    waitUntil = kill - WAIT_BEFORE_KILL_NANOS;
    rejectAt = Math.min(sigterm + ACCEPT_NANOS, lastAnswersAt - ACCEPT_BEFORE_LAST_ANSWERS_NANOS);
  }

  /** Whether requests are rejected that are read now. */
  boolean rejects(long now) {
    return now >= rejectAt;
  }

  /** Whether all that is still open gets its answer now. */
  boolean answersAll(long now) {
    return now >= lastAnswersAt;
  }

  /**
   * Whether nothing more is read from now on: nobody is owed an answer, or would get one in time.
   */
  boolean halfCloses(long now, boolean owesNothing) {
    return (rejects(now) && owesNothing) || now >= halfCloseAt;
  }

  /** Connections are half-closed by now. */
  void halfClosed(long now) {
    lingerUntil = now + LINGER_NANOS;
  }

  /**
   * Whether the process exits now: clients whose answers are all written have had time to read, or
   * none is left.
   */
  boolean exits(long now, boolean allWritten, boolean noneLeft) {
    return now >= exitAt
        || (allWritten && now >= lingerUntil)
        || (noneLeft && lingerUntil < Long.MAX_VALUE);
  }

  /** How long the exit may still be waited for: never nothing, since it is also a time limit. */
  long timeLeft(long now) {
    return Math.max(1_000_000, waitUntil - now);
  }
}
