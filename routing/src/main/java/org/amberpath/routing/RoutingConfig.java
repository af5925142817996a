package org.amberpath.routing;

import java.util.Optional;

/** What a gateway is told when it starts, decoded once. It never changes while a gateway runs. */
public interface RoutingConfig {
  /** Seed of this gateway's random choices. */
  long seed();

  /** How many gateways there are in all zones. */
  int gateways();

  /** How many gateways there are in this gateway's zone. */
  int gatewaysInZone();

  /** The gateway's own zone. */
  String zone();

  /** The kind that parent caches are listed under, if there are any. */
  Optional<String> parentKind();

  /** The kind that the origin is listed under, if it is listed. */
  Optional<String> originKind();

  /** Whether a listed weight is an endpoint's size, in transfers at full rate. */
  boolean weightIsSize();

  /** Whether the endpoint list must be subscribed to. */
  boolean endpointListOnRequest();

  /** How many traffic classes there are. */
  int trafficClassCount();

  /** The traffic class of an index, from 0. */
  TrafficClassConfig trafficClass(int index);

  /** What is allowed beyond the first attempt. */
  RetryConfig retries();

  /** Whether parents and the origin take requests that no cache may answer. */
  boolean bypassAllowed();

  /** Whether endpoints coalesce misses with fills that are under way. */
  boolean coalescing();

  /** Rate at which an object is transferred, in kilobytes a second; 0 where none is told. */
  double transferKilobytesPerSecond();

  /** How long a purge has to be remembered, in nanoseconds. */
  long purgeRetentionNanos();

  /** How edge caches warm up. */
  SlowStartConfig edgeSlowStart();

  /** How parent caches warm up. */
  SlowStartConfig parentSlowStart();

  /** The window over which the load on an endpoint that warms up is summed, in nanoseconds. */
  long overloadWindowNanos();
}
