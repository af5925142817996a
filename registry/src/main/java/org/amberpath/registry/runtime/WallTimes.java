package org.amberpath.registry.runtime;

import java.util.function.LongSupplier;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ListedEndpoint;

/**
 * Hands news on whose times are those of a clock that only goes forward, as Unix times by the wall
 * clock as it stands in that moment, which is what {@link EndpointListener} has: so a wall clock
 * that has stepped since the start makes nothing older or younger. A purge is told as no older than
 * it is by either clock.
 */
final class WallTimes implements EndpointListener {
  private static final long MS = 1_000_000;

  private final EndpointListener to;
  private final LongSupplier forwardNanos, wallMillis;

  WallTimes(EndpointListener to, LongSupplier forwardNanos, LongSupplier wallMillis) {
    this.to = to;
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
    to.endpointListStarted(kind);
  }

  @Override
  public void endpointListed(ListedEndpoint endpoint) {
    to.endpointListed(
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
    to.endpointListCompleted();
  }

  @Override
  public void objectPurged(long object, int group, long atMs) {
    to.objectPurged(object, group, atMs + Math.max(0, aheadMillis()));
  }
}
