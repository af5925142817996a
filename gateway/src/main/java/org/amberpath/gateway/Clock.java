package org.amberpath.gateway;

import java.util.function.LongSupplier;
import org.amberpath.gateway.discovery.JournalDecoder;
import org.amberpath.routing.EventAge;

/**
 * The gateway's time: monotonic, and comparable with Unix times that others state. {@link
 * #nowNanos()} may be called from any thread, all else on the event loop.
 */
public final class Clock implements JournalDecoder.Replies {
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
  void watch() {
    eventAge.clocksRead(nowNanos(), wallMillis.getAsLong());
  }

  /** The least possible age, in nanoseconds, of a purge with this timestamp. */
  long sincePurge(long unixMillis) {
    watch();
    return eventAge.purgeAgeNanos(nowNanos(), unixMillis);
  }

  /** The least possible time, in nanoseconds, since an endpoint started that states this time. */
  long sinceStart(long unixMillis) {
    watch();
    return eventAge.startAgeNanos(nowNanos(), unixMillis);
  }

  /**
   * Whether the wall clock was corrected since the last call, so that endpoints may have started
   * later than {@link #sinceStart} said.
   */
  boolean corrected() {
    return eventAge.takeCorrection();
  }

  @Override
  public void begins(boolean live, long newestPurgeMillis) {
    watch();
    eventAge.replyStarted(nowNanos(), live, newestPurgeMillis);
  }

  @Override
  public void ends() {
    eventAge.replyEnded();
  }
}
