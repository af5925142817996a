package org.amberpath.routing;

/**
 * How old an event is that carries a Unix time, where the wall clock may step by seconds or an
 * hour, both ways, at any moment. Told the monotonic and the wall clock together; it keeps how far
 * apart they are. An event is taken for as young as it can be: a purge then binds longer, and an
 * endpoint that started is colder (docs/design/clocks.md).
 *
 * <p>Three facts bound an age from above. The wall clock was at least once as little ahead of the
 * monotonic one as the least seen since the start. Whoever stamps events was, by its clock, no
 * earlier than the newest stamp heard of. And an event that a reply brings was not yet there when
 * the reply before was made. Times are nanoseconds but for stamps.
 */
public final class EventAge {
  /**
   * What the two clocks may move apart between two readings without a step; this is followed as
   * drift.
   */
  private static final long STEP_NANOS = 50_000_000L;

  /**
   * How long a reply may be under way, and discovery may hold an event back before a reply brings
   * it.
   */
  private static final long HELD_BACK_NANOS = 10_000_000_000L;

  /** How long ago the newest event heard of may have been: less than the grace of any purge. */
  private static final long UNDER_WAY_NANOS = 200_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L, NONE = Long.MIN_VALUE;

  /**
   * By how much the wall clock is ahead of the monotonic one: at the last reading, at the least, by
   * stamps.
   */
  private long ahead, least, newest = NONE;

  private long previousReplyAt = NONE, replyAt = NONE;
  private boolean live, takeCorrection;

  /** Reads both clocks for the first time. */
  public EventAge(long monotonic, long wallMillis) {
    ahead = wallMillis * NANOS_PER_MILLI - monotonic;
    least = ahead;
  }

  /**
   * Reads both clocks; has to be called often enough that drift between two calls stays far under a
   * step.
   */
  public void clocksRead(long monotonic, long wallMillis) {
    long next = wallMillis * NANOS_PER_MILLI - monotonic, moved = next - ahead;
    if (Math.abs(moved) <= STEP_NANOS) {
      least += moved;
      newest += newest == NONE ? 0 : moved;
    }
    ahead = next;
    least = Math.min(least, ahead);
  }

  /**
   * A reply, live or known from before the start, is about to be told; its newest purge has this
   * stamp (0: none).
   */
  public void replyStarted(long monotonic, boolean isLive, long newestPurgeMillis) {
    live = isLive;
    if (live) {
      previousReplyAt = replyAt;
      replyAt = monotonic;
    }
    if (newestPurgeMillis > 0) {
      newest = Math.max(newest, newestPurgeMillis * NANOS_PER_MILLI - monotonic);
    }
  }

  /** All of the reply has been told. */
  public void replyEnded() {
    live = false;
  }

  /** How long ago a purge was, at most; never negative. */
  public long purgeAgeNanos(long monotonic, long stampMillis) {
    long stamp = stampMillis * NANOS_PER_MILLI - monotonic;
    long most = monotonic - previousReplyAt + HELD_BACK_NANOS;
    if (live && previousReplyAt != NONE && least - stamp > most) {
      newest = earliest() - stamp > most ? stamp : newest; // Set back since the newest was stamped.
      least = earliest(); // Or the wall clock was ahead from the start.
      takeCorrection = true;
    }
    return Math.max(0, earliest() - stamp);
  }

  /**
   * Whether the wall clock's word has turned out wrong since this was asked last: starts may be
   * later than told.
   */
  public boolean takeCorrection() {
    boolean was = takeCorrection;
    takeCorrection = false;
    return was;
  }

  /**
   * How long ago an endpoint started, at most; never negative. Of those known at the start the wall
   * clock tells.
   */
  public long startAgeNanos(long monotonic, long stampMillis) {
    long stamp = stampMillis * NANOS_PER_MILLI - monotonic;
    if (live) {
      newest = Math.max(newest, stamp);
    }
    return Math.max(0, (live ? earliest() : least) - stamp);
  }

  /** What time it is at the least. */
  private long earliest() {
    return newest == NONE ? least : Math.min(least, newest + UNDER_WAY_NANOS);
  }
}
