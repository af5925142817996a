package org.amberpath.gateway.pipeline;

import io.vertx.core.net.SocketAddress;
import org.amberpath.gateway.cache.CachePool;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/** One cache: what discovery last listed of it, and its connections. */
final class CacheEndpoint {
  final String id;

  /** The index under which the router knows it. */
  final int index;

  EndpointState state;

  /** Where it listens; null before an address was listed. */
  SocketAddress address;

  /** Its connections; null while there are none. */
  CachePool pool;

  /** What was last listed of it. */
  private ListedEndpoint listed;

  /** The Unix time of its start as it was listed, in milliseconds; 0 for none. */
  private long startedAtMillis;

  /**
   * The same by this gateway's clock, in nanoseconds: the age of a start that was listed is
   * measured by that clock from then on.
   */
  private long startedAtNanos;

  CacheEndpoint(String id, int index) {
    this.id = id;
    this.index = index;
  }

  /** Discovery has listed it, for the first time or anew. */
  void update(ListedEndpoint endpoint, Clock clock) {
    listed = endpoint;
    state = endpoint.state();
    if (endpoint.startedAtMillis() != startedAtMillis) {
      startedAtMillis = endpoint.startedAtMillis();
      startedAtNanos = startedAtNanos(clock);
    }
  }

  private long startedAtNanos(Clock clock) {
    return startedAtMillis == 0 ? 0 : clock.nowNanos() - clock.startAgeNanos(startedAtMillis);
  }

  /** Connections go to this address from now on; those to another one are closed. */
  void moveTo(SocketAddress next) {
    if (pool != null && !next.equals(address)) {
      closePool();
    }
    address = next;
  }

  /** Closes its connections. */
  void closePool() {
    pool.close();
    pool = null;
  }

  /**
   * Whether it started later than was listed, by more than a bound, now that the wall clock was
   * corrected; its start is corrected then.
   */
  boolean correctStart(Clock clock, long minCorrectionNanos) {
    long corrected = startedAtNanos(clock);
    boolean isLater = corrected > startedAtNanos + minCorrectionNanos;
    if (isLater) {
      startedAtNanos = corrected;
    }
    return isLater;
  }

  /** Whether the router may choose it. */
  boolean isUp() {
    return state == EndpointState.UP;
  }

  /** Whether discovery does not list it any more. */
  boolean isGone() {
    return state == EndpointState.GONE;
  }

  /** What the router is given of it. */
  EndpointDescription description() {
    return new EndpointDescription(
        index,
        id,
        listed.zone(),
        listed.kind(),
        listed.cell(),
        listed.state(),
        listed.weight(),
        startedAtNanos);
  }
}
