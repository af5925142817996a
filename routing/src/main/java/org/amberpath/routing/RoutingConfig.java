package org.amberpath.routing;

import java.util.Optional;

/**
 * The configuration of the router, decoded once when a gateway starts and constant while it runs.
 */
public interface RoutingConfig {
  /** Seed of this gateway's random choices. */
  long seed();

  /** Number of gateways in all zones. */
  int gateways();

  /** Number of gateways in this gateway's zone. */
  int gatewaysInZone();

  /** The gateway's own zone. */
  String zone();

  /** The kind under which parent caches are listed, if there are any. */
  Optional<String> parentKind();

  /** The kind under which the origin is listed, if it is listed. */
  Optional<String> originKind();

  /** Whether a listed weight is an endpoint's size, as a number of transfers at full rate. */
  boolean weightIsSize();

  /** Whether the router must subscribe to the endpoint list. */
  boolean requiresEndpointSubscription();

  /** Number of traffic classes. */
  int trafficClassCount();

  /** The configuration of a traffic class by its index, from 0. */
  TrafficClassConfig trafficClass(int index);

  /** The configuration of retries and hedging. */
  RetryConfig retries();

  /**
   * Whether parents and the origin accept requests that bypass the edge caches because their
   * responses are never cached.
   */
  boolean bypassAllowed();

  /** Whether endpoints coalesce misses with fills that are in flight. */
  boolean coalescing();

  /** Rate at which an object is transferred, in kilobytes per second; 0 if it is unknown. */
  double transferKilobytesPerSecond();

  /** How long the router remembers a purge, in nanoseconds. */
  long purgeRetentionNanos();

  /** How edge caches warm up. */
  SlowStartConfig edgeSlowStart();

  /** How parent caches warm up. */
  SlowStartConfig parentSlowStart();

  /** The window over which the load on an endpoint that warms up is summed, in nanoseconds. */
  long overloadWindowNanos();
}
