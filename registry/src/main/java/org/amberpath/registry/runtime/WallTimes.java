package org.amberpath.registry.runtime;

import java.util.function.LongSupplier;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ListedEndpoint;

/**
 * Passes endpoints and purges on, and turns times of a clock that only goes forward into Unix times
 * by the wall clock as it stands in that moment, as {@link EndpointListener} has them. So a wall
 * clock that has stepped since the start makes nothing older or younger. A purge is passed on as no
 * older than it is by either clock.
 */
final class WallTimes implements EndpointListener {
  private static final long MS = 1_000_000;

  private final EndpointListener listener;
  private final LongSupplier forwardNanos;
  private final LongSupplier wallMillis;

  WallTimes(EndpointListener listener, LongSupplier forwardNanos, LongSupplier wallMillis) {
    this.listener = listener;
    this.forwardNanos = forwardNanos;
    this.wallMillis = wallMillis;
  }

  /** A time of the clock that only goes forward as a Unix time, both in nanoseconds. */
  long unix(long nanos) {
    return nanos + aheadMillis() * MS;
  }

  private long aheadMillis() {
    return wallMillis.getAsLong() - forwardNanos.getAsLong() / MS;
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    listener.endpointListStarted(kind);
  }

  @Override
  public void endpointListed(ListedEndpoint endpoint) {
    listener.endpointListed(
        new ListedEndpoint(
            endpoint.id(),
            endpoint.address(),
            endpoint.zone(),
            endpoint.kind(),
            endpoint.cell(),
            endpoint.state(),
            endpoint.weight(),
            endpoint.startedAtMillis() == 0 ? 0 : endpoint.startedAtMillis() + aheadMillis()));
  }

  @Override
  public void endpointListCompleted() {
    listener.endpointListCompleted();
  }

  @Override
  public void objectPurged(long object, int group, long atMillis) {
    listener.objectPurged(object, group, atMillis + Math.max(0, aheadMillis()));
  }
}
