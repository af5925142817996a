package org.amberpath.gateway;

/**
 * The times of the steps of a graceful shutdown, chosen so that all steps end before the SIGKILL
 * that may follow SIGTERM. It reads no clock and does no I/O: each call passes the current time, in
 * nanoseconds of one monotonic clock. All times are fixed at SIGTERM, so a lagging event loop has
 * less time for the later steps, and the shutdown does not end later.
 *
 * <p>The steps are:
 *
 * <ol>
 *   <li>New requests are accepted as before.
 *   <li>New requests are rejected, while those in flight get their responses.
 *   <li>Requests still in flight shortly before the end are failed.
 *   <li>Once no request is in flight, or no time is left, connections are half-closed and nothing
 *       more is read from them.
 *   <li>Clients have some time to read their responses; then the process exits.
 * </ol>
 */
final class ShutdownSchedule {
  /** SIGKILL follows SIGTERM no sooner than after the longest deadline plus this time. */
  private static final long KILL_AFTER_DEADLINE_NANOS = 700_000_000;

  /** The time before SIGKILL at which requests in flight are failed. */
  private static final long FAIL_BEFORE_KILL_NANOS = 250_000_000;

  /** The time before SIGKILL at which connections are half-closed at the latest. */
  private static final long HALF_CLOSE_BEFORE_KILL_NANOS = 215_000_000;

  /** The time before SIGKILL at which the process begins to exit at the latest. */
  private static final long EXIT_BEFORE_KILL_NANOS = 170_000_000;

  /**
   * The time before SIGKILL at which the shutdown hook stops waiting for the gateway. The Java
   * runtime takes 0.05 to 0.1 s to exit when the host is short of CPU.
   */
  private static final long STOP_WAITING_BEFORE_KILL_NANOS = 140_000_000;

  /** The time after SIGTERM during which new requests are accepted as before. */
  private static final long ACCEPT_NANOS = 750_000_000;

  /** New requests are rejected for at least this time before those in flight are failed. */
  private static final long REJECT_BEFORE_FAIL_NANOS = 100_000_000;

  /** The time that clients have to read their last responses, unless the exit comes first. */
  private static final long LINGER_NANOS = 350_000_000;

  private static final long MIN_TIMEOUT_NANOS = 1_000_000;

  private final long rejectAt;
  private final long failAt;
  private final long halfCloseAt;
  private final long exitAt;
  private final long waitUntil;
  private long lingerUntil = Long.MAX_VALUE;

  /**
   * Creates the schedule of a shutdown that begins with SIGTERM.
   *
   * @param sigtermAt the time at which SIGTERM was received
   * @param longestDeadlineNanos the longest time that a request may take
   */
  ShutdownSchedule(long sigtermAt, long longestDeadlineNanos) {
    long killAt = sigtermAt + longestDeadlineNanos + KILL_AFTER_DEADLINE_NANOS;
    failAt = killAt - FAIL_BEFORE_KILL_NANOS;
    halfCloseAt = killAt - HALF_CLOSE_BEFORE_KILL_NANOS;
    exitAt = killAt - EXIT_BEFORE_KILL_NANOS;
    waitUntil = killAt - STOP_WAITING_BEFORE_KILL_NANOS;
    rejectAt = Math.min(sigtermAt + ACCEPT_NANOS, failAt - REJECT_BEFORE_FAIL_NANOS);
  }

  /** Returns whether requests that are read now are rejected. */
  boolean rejects(long now) {
    return now >= rejectAt;
  }

  /** Returns whether requests in flight are failed now. */
  boolean failsInFlight(long now) {
    return now >= failAt;
  }

  /**
   * Returns whether connections are half-closed now, after which nothing more is read from them.
   *
   * @param drained whether every request that was read has its response
   */
  boolean halfCloses(long now, boolean drained) {
    return (rejects(now) && drained) || now >= halfCloseAt;
  }

  /** Records that connections were half-closed; the clients' time to read starts now. */
  void halfClosed(long now) {
    lingerUntil = now + LINGER_NANOS;
  }

  /**
   * Returns whether the process exits now.
   *
   * @param allWritten whether every response is written to its socket, so that clients only need
   *     time to read
   * @param noClients whether no client connection is left
   */
  boolean exits(long now, boolean allWritten, boolean noClients) {
    return now >= exitAt
        || (allWritten && now >= lingerUntil)
        || (noClients && lingerUntil < Long.MAX_VALUE);
  }

  /**
   * Returns how long the shutdown may still wait for the gateway to close, in nanoseconds; at least
   * 1 ms.
   */
  long timeLeftNanos(long now) {
    return Math.max(MIN_TIMEOUT_NANOS, waitUntil - now);
  }
}
