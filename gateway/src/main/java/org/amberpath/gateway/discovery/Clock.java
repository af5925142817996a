package org.amberpath.gateway.discovery;

import java.util.function.LongSupplier;
import org.amberpath.routing.EventAge;

/**
 * The gateway's clock: a monotonic time on the scale of Unix time, and the age of purges and of
 * endpoint starts that other hosts stamped with their wall clocks ({@link EventAge}). {@link
 * #nowNanos()} may be called from any thread, all other methods only on the event loop.
 */
public final class Clock implements JournalDecoder.ReplyListener {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final LongSupplier monotonicNanos;
  private final LongSupplier wallMillis;
  private final long epochOffsetNanos;
  private final EventAge eventAge;

  /** Creates a clock that reads the system's monotonic clock and wall clock. */
  public Clock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  /**
   * Creates a clock that reads the given time sources.
   *
   * @param monotonicNanos nanoseconds since an arbitrary origin; the value never decreases
   * @param wallMillis Unix time in milliseconds; the value may be stepped forwards and backwards
   */
  public Clock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
    this.monotonicNanos = monotonicNanos;
    this.wallMillis = wallMillis;
    epochOffsetNanos = wallMillis.getAsLong() * NANOS_PER_MILLI - monotonicNanos.getAsLong();
    eventAge = new EventAge(nowNanos(), wallMillis.getAsLong());
  }

  /**
   * Returns the monotonic time in nanoseconds since the Unix epoch. Later steps of the wall clock
   * do not change it: the offset to the epoch is read from the wall clock once, at construction.
   */
  public long nowNanos() {
    return monotonicNanos.getAsLong() + epochOffsetNanos;
  }

  /**
   * Reads the monotonic clock and the wall clock together to detect steps of the wall clock. Called
   * at least once a second, so that drift between two calls stays far below the 50 ms that count as
   * a step.
   */
  public void readClocks() {
    eventAge.clocksRead(nowNanos(), wallMillis.getAsLong());
  }

  /**
   * Returns how old a purge with the given timestamp is, in nanoseconds; 0 or more. Where the
   * clocks leave room for doubt, the result is the smallest possible age, so that the purge applies
   * longer.
   */
  public long purgeAgeNanos(long unixMillis) {
    readClocks();
    return eventAge.purgeAgeNanos(nowNanos(), unixMillis);
  }

  /**
   * Returns how long ago an endpoint with the given start time started, in nanoseconds; 0 or more.
   * Where the clocks leave room for doubt, the result is the smallest possible age, so that the
   * endpoint counts as less warm.
   */
  public long startAgeNanos(long unixMillis) {
    readClocks();
    return eventAge.startAgeNanos(nowNanos(), unixMillis);
  }

  /**
   * Returns whether the wall clock has been found wrong since the last call of this method, and
   * resets that flag. On true, endpoints may have started later than {@link #startAgeNanos}
   * returned.
   */
  public boolean takeCorrection() {
    return eventAge.pollCorrection();
  }

  @Override
  public void replyStarted(JournalDecoder.EntrySource source, long newestPurgeMillis) {
    readClocks();
    eventAge.replyStarted(
        nowNanos(), source == JournalDecoder.EntrySource.JOURNAL, newestPurgeMillis);
  }

  @Override
  public void replyEnded() {
    eventAge.replyEnded();
  }
}
