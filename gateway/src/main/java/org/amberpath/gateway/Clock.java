package org.amberpath.gateway;

import java.util.function.LongSupplier;
import org.amberpath.gateway.discovery.JournalDecoder;
import org.amberpath.routing.EventAge;

/** Time that only goes forward, and what it makes of Unix times. */
public final class Clock implements JournalDecoder.Replies {
  private final LongSupplier monotonicNanos, wallMillis;
  private final long origin;
  private final EventAge ages;

  public Clock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  /** A clock that is told the time by others: what goes only forward, and the wall clock. */
  public Clock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
    this.monotonicNanos = monotonicNanos;
    this.wallMillis = wallMillis;
    origin = wallMillis.getAsLong() * 1_000_000L - monotonicNanos.getAsLong();
    ages = new EventAge(now(), wallMillis.getAsLong());
  }

  /** Nanoseconds since the Unix epoch, as the wall clock had it at the start. */
  public long now() {
    return monotonicNanos.getAsLong() + origin;
  }

  /** Compares the two clocks; called at least once a second. */
  void watch() {
    ages.read(now(), wallMillis.getAsLong());
  }

  /** How long ago a purge of this stamp was, as little as it can be. */
  long sincePurge(long unixMs) {
    watch();
    return ages.ofPurge(now(), unixMs);
  }

  /** How long ago an endpoint started, as little as it can be. */
  long sinceStart(long unixMs) {
    watch();
    return ages.ofStart(now(), unixMs);
  }

  /** Whether starts that were told may be later than was told, since this was asked last. */
  boolean corrected() {
    return ages.corrected();
  }

  @Override
  public void begins(boolean live, long newestPurgeMillis) {
    watch();
    ages.begins(now(), live, newestPurgeMillis);
  }

  @Override
  public void ends() {
    ages.ends();
  }
}
