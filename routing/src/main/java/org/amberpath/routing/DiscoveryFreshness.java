package org.amberpath.routing;

/**
 * Whether what a gateway knows of drains and purges is young enough to decide and to send by. An
 * event counts as told when the journal has it, whether this gateway has read it or not; so a
 * gateway that was late, or has just started, reads first and decides then. Told what was read and
 * asked, and when; times are nanoseconds of one clock.
 *
 * <p>Two things make news old. The loop stood still: then all that waits on the sockets is read
 * before anything is decided. A reply was found after the loop stood, or there was none since the
 * start: what came to the journal after that reply is asked for once more, with no waiting, and
 * decisions wait for it. A journal that fails, breaks off or falls silent is no lateness of this
 * gateway's: nobody waits for it (docs/design.md).
 */
public final class DiscoveryFreshness {
  /**
   * Parts of the grace that a gap in reading, a reply's way, and deciding and sending may each
   * take.
   */
  private static final int PARTS = 4;

  /**
   * Replies in a row that took long, and questions in a row that failed, after which nobody waits
   * for more.
   */
  private static final int MOST_LATE = 3, MOST_FAILED = 2;

  private final long bound;
  private long readAt, askedAt;
  private int late, requestFailed;
  private boolean awaitsResponse;

  /**
   * News of a start.
   *
   * @param grace the shortest time within which a drain or a purge has to be heeded
   * @param asks whether a journal is asked for news; other sources tell unasked
   */
  public DiscoveryFreshness(long grace, boolean asks, long now) {
    bound = Math.max(1, grace / PARTS);
    awaitsResponse = asks; // What was known at the start is as old as the start took.
    readAt = now;
    askedAt = now;
  }

  /** By now all is read that had come to this gateway's sockets by that time. */
  public void socketsRead(long by) {
    readAt = Math.max(readAt, by);
  }

  /** The journal is asked for what comes after all that is known. */
  public void requestSent(long now) {
    awaitsResponse |=
        now - readAt > bound && late < MOST_LATE; // The loop stood between a reply and this.
    askedAt = now;
  }

  /**
   * Its reply was read: it holds all that came before it was asked, or before the sockets were last
   * read.
   */
  public void responseReceived(long now) {
    requestFailed = 0;
    late = isLate(now) ? late + 1 : 0;
    awaitsResponse = late > 0 && late < MOST_LATE;
  }

  /** No reply came, or none that can be read. */
  public void requestFailed(long now) {
    requestFailed++;
    awaitsResponse = (awaitsResponse || now - readAt > bound) && requestFailed < MOST_FAILED;
  }

  private boolean isLate(long now) {
    return now - Math.max(readAt, askedAt) > bound;
  }

  /**
   * Whether a reply is owed without waiting at the journal: guards against what came there
   * meanwhile.
   */
  public boolean awaitsResponse() {
    return awaitsResponse;
  }

  /** Whether it may be decided and sent by what is known. */
  public boolean permitsDecisions(long now) {
    return !awaitsResponse && now - readAt <= bound;
  }
}
