package org.amberpath.routing;

/** What a gateway is told when it starts, decoded once. Times are nanoseconds. */
public interface RoutingConfig {
  long seed();

  /** How many gateways there are, in all and in this gateway's zone. */
  int gateways();

  int gatewaysInZone();

  String zone();

  /** The kinds that parents and the origin are listed under; null where the site has none. */
  String parentKind();

  String originKind();

  /** True where a listed weight is a cache's size in full-pace transfers. */
  boolean weightIsSize();

  /** True where the list of caches must be asked for. */
  boolean endpointListOnRequest();

  int trafficClassCount();

  Idempotency idempotency(int trafficClass);

  IdempotencyScope idempotencyScope(int trafficClass);

  long idempotencyWindowNanos(int trafficClass);

  long latencyObjectiveNanos(int trafficClass);

  /** By how much the latency objective grows with a GET's own sending time. */
  double latencyStretch(int trafficClass);

  double revenue(int trafficClass);

  boolean neverCached(int trafficClass);

  /**
   * How long a copy is fresh (0: until it is purged) and how long after that it may still be
   * returned.
   */
  long freshNanos(int trafficClass);

  long staleGraceNanos(int trafficClass);

  int maxAttempts();

  boolean hedgingAllowed();

  boolean cancellationAllowed();

  boolean sendsRetryAfter();

  long maxRetryAfterNanos();

  /** True where parents and the origin take GETs too. */
  boolean bypassAllowed();

  boolean coalescing();

  double transferKilobytesPerSecond();

  long purgeRetentionNanos();

  double coldShare();

  long coldTime();

  double fallMultiple();

  long overloadWindowNanos();

  double parentColdShare();

  long parentColdTime();

  double parentFallMultiple();
}
