package org.amberpath.gateway.pipeline;

import io.vertx.core.net.SocketAddress;
import org.amberpath.gateway.cache.CachePool;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/** One cache: its latest description by discovery, and its connections. */
final class CacheEndpoint {
  final String id;

  /** The index by which the router refers to this endpoint. */
  final int index;

  EndpointState state;

  /** The address that the cache listens at; null before discovery has listed one. */
  SocketAddress address;

  /** The connections to the cache; null while there are none. */
  CachePool pool;

  /** Whether the latest complete list did not contain the cache, or contained it as gone. */
  private boolean wasGone;

  /** The latest description by discovery; null before the first one. */
  private ListedEndpoint latestListing;

  /** The start time of the cache as listed, in Unix milliseconds; 0 where none is listed. */
  private long startedAtMillis;

  /**
   * The start time of the cache by this gateway's clock, in nanoseconds; 0 where none is listed. It
   * is computed when a new start time is listed and recomputed only by {@link #correctStart}, so
   * that later steps of the wall clock do not change the start's age.
   */
  private long startedAtNanos;

  CacheEndpoint(String id, int index) {
    this.id = id;
    this.index = index;
  }

  /**
   * Applies the endpoint's latest description from discovery, which may be its first. The
   * connections are not used any more if another process has taken the cache's place: one that is
   * listed after the cache was gone, or one with a later start.
   */
  void update(ListedEndpoint endpoint, Clock clock) {
    boolean isReplaced =
        (wasGone && endpoint.state() != EndpointState.GONE)
            || (latestListing != null && endpoint.startedAtMillis() > startedAtMillis);
    if (isReplaced && pool != null) {
      pool.retireConnections();
    }
    latestListing = endpoint;
    state = endpoint.state();
    if (endpoint.startedAtMillis() != startedAtMillis) {
      startedAtMillis = endpoint.startedAtMillis();
      startedAtNanos = startedAtNanos(clock);
    }
  }

  /** Records that an endpoint list is complete, which may have left this endpoint out. */
  void listCompleted() {
    wasGone = isGone();
  }

  private long startedAtNanos(Clock clock) {
    return startedAtMillis == 0 ? 0 : clock.nowNanos() - clock.startAgeNanos(startedAtMillis);
  }

  /** Sets the address for new connections, and closes those to a different address. */
  void changeAddress(SocketAddress newAddress) {
    if (pool != null && !newAddress.equals(address)) {
      closePool();
    }
    address = newAddress;
  }

  /** Closes the connections to the cache. */
  void closePool() {
    pool.close();
    pool = null;
  }

  /**
   * Recomputes the start time after a correction of the wall clock, and applies it if it is later
   * than the present one by more than a minimum.
   *
   * @param minCorrectionNanos a start that is later by no more than this is left as it was
   * @return whether the start time was changed
   */
  boolean correctStart(Clock clock, long minCorrectionNanos) {
    long correctedNanos = startedAtNanos(clock);
    boolean isLater = correctedNanos > startedAtNanos + minCorrectionNanos;
    if (isLater) {
      startedAtNanos = correctedNanos;
    }
    return isLater;
  }

  /** Returns whether the router may send attempts to the cache. */
  boolean isUp() {
    return state == EndpointState.UP;
  }

  /** Returns whether discovery has removed the cache from the list. */
  boolean isGone() {
    return state == EndpointState.GONE;
  }

  /** Returns the description of the cache for the router. */
  EndpointDescription description() {
    return new EndpointDescription(
        index,
        id,
        latestListing.zone(),
        latestListing.kind(),
        latestListing.cell().orElse(ListedEndpoint.DEFAULT_CELL),
        latestListing.state(),
        latestListing.weight().orElse(ListedEndpoint.DEFAULT_WEIGHT),
        startedAtNanos);
  }
}
