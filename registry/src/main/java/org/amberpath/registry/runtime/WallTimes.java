package org.amberpath.registry.runtime;

import java.util.function.LongSupplier;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ListedEndpoint;

/**
 * Forwards endpoints and purges, and converts their times from a monotonic clock to Unix times by
 * the current offset of the wall clock, as {@link EndpointListener} requires. A step of the wall
 * clock since the start therefore changes no age. A purge is forwarded with the later of its times
 * by the two clocks, so that it counts as no older than it is by either clock.
 */
final class WallTimes implements EndpointListener {
  private static final long MS = 1_000_000;

  private final EndpointListener listener;
  private final LongSupplier monotonicNanos;
  private final LongSupplier wallMillis;

  WallTimes(EndpointListener listener, LongSupplier monotonicNanos, LongSupplier wallMillis) {
    this.listener = listener;
    this.monotonicNanos = monotonicNanos;
    this.wallMillis = wallMillis;
  }

  /** Converts a time of the monotonic clock to a Unix time, both in nanoseconds. */
  long toUnixNanos(long timeNanos) {
    return timeNanos + wallOffsetMillis() * MS;
  }

  private long wallOffsetMillis() {
    return wallMillis.getAsLong() - monotonicNanos.getAsLong() / MS;
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    listener.endpointListStarted(kind);
  }

  @Override
  public void endpointListed(ListedEndpoint endpoint) {
    listener.endpointListed(
        endpoint.startedAtMillis() == 0
            ? endpoint
            : endpoint.withStartedAtMillis(endpoint.startedAtMillis() + wallOffsetMillis()));
  }

  @Override
  public void endpointListCompleted() {
    listener.endpointListCompleted();
  }

  @Override
  public void objectPurged(long object, int group, long atMillis) {
    listener.objectPurged(object, group, atMillis + Math.max(0, wallOffsetMillis()));
  }
}
