package org.amberpath.gateway.discovery;

import java.util.function.LongSupplier;
import org.amberpath.routing.EventAge;

/**
 * The gateway's time: monotonic, and comparable with Unix times that others state. {@link
 * #nowNanos()} may be called from any thread, all else on the event loop.
 */
public final class Clock implements JournalDecoder.ReplyListener {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final LongSupplier monotonicNanos;
  private final LongSupplier wallMillis;
  private final long originNanos;
  private final EventAge eventAge;

  /** The system's clocks. */
  public Clock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  /**
   * A clock on other sources.
   *
   * @param monotonicNanos nanoseconds of any origin, which never go back
   * @param wallMillis Unix milliseconds, which may be stepped
   */
  public Clock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
    this.monotonicNanos = monotonicNanos;
    this.wallMillis = wallMillis;
    originNanos = wallMillis.getAsLong() * NANOS_PER_MILLI - monotonicNanos.getAsLong();
    eventAge = new EventAge(nowNanos(), wallMillis.getAsLong());
  }

  /** Monotonic nanoseconds since the Unix epoch, by the wall clock as it was at the start. */
  public long nowNanos() {
    return monotonicNanos.getAsLong() + originNanos;
  }

  /** Compares the two clocks, to notice steps of the wall clock; called at least once a second. */
  public void readClocks() {
    eventAge.clocksRead(nowNanos(), wallMillis.getAsLong());
  }

  /** The least possible age, in nanoseconds, of a purge with this timestamp. */
  public long purgeAgeNanos(long unixMillis) {
    readClocks();
    return eventAge.purgeAgeNanos(nowNanos(), unixMillis);
  }

  /** The least possible time, in nanoseconds, since an endpoint started that states this time. */
  public long startAgeNanos(long unixMillis) {
    readClocks();
    return eventAge.startAgeNanos(nowNanos(), unixMillis);
  }

  /**
   * Whether the wall clock was corrected since the last call, so that endpoints may have started
   * later than {@link #startAgeNanos} said.
   */
  public boolean takeCorrection() {
    return eventAge.takeCorrection();
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
