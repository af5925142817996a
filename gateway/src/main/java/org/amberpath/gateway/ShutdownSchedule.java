package org.amberpath.gateway;

/**
 * When each step of a graceful shutdown is taken, so that all of them end before the SIGKILL that
 * may follow SIGTERM. Pure: it is told the time, in nanoseconds of one clock, at each call. An
 * event loop that lags has less time for the later steps, not a later end.
 *
 * <p>Requests are taken as before, then rejected, while those in flight get their responses; what
 * is in flight just before the end is failed. Once nothing is in flight, or there is no time left
 * for it, nothing more is read and connections are half-closed; clients have some time to read, and
 * the process exits.
 */
final class ShutdownSchedule {
  /** SIGKILL comes no sooner after SIGTERM than the longest deadline and this. */
  private static final long KILL_AFTER_DEADLINE_NANOS = 700_000_000;

  /** How long before SIGKILL requests in flight are failed. */
  private static final long FAIL_BEFORE_KILL_NANOS = 250_000_000;

  /** How long before SIGKILL connections are half-closed. */
  private static final long HALF_CLOSE_BEFORE_KILL_NANOS = 215_000_000;

  /** How long before SIGKILL the process begins to exit. */
  private static final long EXIT_BEFORE_KILL_NANOS = 170_000_000;

  /**
   * How long before SIGKILL nothing is waited for any more. Guards against a runtime that takes
   * 0.05 to 0.1 s to exit where CPU is short.
   */
  private static final long WAIT_BEFORE_KILL_NANOS = 140_000_000;

  /** How long requests are taken as before. */
  private static final long TAKE_NANOS = 750_000_000;

  /** They are rejected at least this long before those in flight are failed. */
  private static final long REJECT_BEFORE_FAIL_NANOS = 100_000_000;

  /** How long clients have to read their last responses, if there is as much time. */
  private static final long LINGER_NANOS = 350_000_000;

  private static final long MIN_TIMEOUT_NANOS = 1_000_000;

  private final long rejectAt;
  private final long failAt;
  private final long halfCloseAt;
  private final long exitAt;
  private final long waitUntil;
  private long lingerUntil = Long.MAX_VALUE;

  /**
   * A schedule from SIGTERM on.
   *
   * @param sigtermAt when it came
   * @param longestDeadlineNanos the longest time that a request may take
   */
  ShutdownSchedule(long sigtermAt, long longestDeadlineNanos) {
    long killAt = sigtermAt + longestDeadlineNanos + KILL_AFTER_DEADLINE_NANOS;
    failAt = killAt - FAIL_BEFORE_KILL_NANOS;
    halfCloseAt = killAt - HALF_CLOSE_BEFORE_KILL_NANOS;
    exitAt = killAt - EXIT_BEFORE_KILL_NANOS;
    waitUntil = killAt - WAIT_BEFORE_KILL_NANOS;
    rejectAt = Math.min(sigtermAt + TAKE_NANOS, failAt - REJECT_BEFORE_FAIL_NANOS);
  }

  /** Whether requests are rejected that are read now. */
  boolean rejects(long now) {
    return now >= rejectAt;
  }

  /** Whether requests in flight are failed now. */
  boolean failsInFlight(long now) {
    return now >= failAt;
  }

  /**
   * Whether connections are half-closed now, and nothing more is read.
   *
   * @param drained whether every request that was read has its response
   */
  boolean halfCloses(long now, boolean drained) {
    return (rejects(now) && drained) || now >= halfCloseAt;
  }

  /** Connections were half-closed: clients have some time from now on to read. */
  void halfClosed(long now) {
    lingerUntil = now + LINGER_NANOS;
  }

  /**
   * Whether the process exits now.
   *
   * @param allWritten whether every response is written, so that clients need only time to read
   * @param noClients whether no client's connection is left
   */
  boolean exits(long now, boolean allWritten, boolean noClients) {
    return now >= exitAt
        || (allWritten && now >= lingerUntil)
        || (noClients && lingerUntil < Long.MAX_VALUE);
  }

  /** How long the exit may still be waited for, in nanoseconds; at least the shortest timeout. */
  long timeLeft(long now) {
    return Math.max(MIN_TIMEOUT_NANOS, waitUntil - now);
  }
}
