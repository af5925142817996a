package org.amberpath.routing;

/** What a gateway is told when it starts, decoded once. Times are nanoseconds. */
public interface RoutingConfig {
  long seed();

  /** How many gateways there are, in all and in this gateway's zone. */
  int gateways();

  int gatewaysHere();

  String zone();

  /** The kinds that parents and the origin are listed under; null where the site has none. */
  String midKind();

  String originKind();

  /** True where a listed weight is a cache's size in full-pace transfers. */
  boolean weighsSizes();

  /** True where the list of caches must be asked for. */
  boolean listOnRequest();

  int deliveryServices();

  Idempotency effect(int ds);

  IdempotencyScope group(int ds);

  long window(int ds);

  long latencyObjective(int ds);

  /** By how much the latency objective grows with a GET's own sending time. */
  double stretch(int ds);

  double revenue(int ds);

  boolean neverKept(int ds);

  /**
   * How long a copy is fresh (0: until it is purged) and how long after that it may still be
   * returned.
   */
  long fresh(int ds);

  long grace(int ds);

  int maxForwards();

  boolean secondCopies();

  boolean callOff();

  boolean retryAfter();

  long maxRetryAfter();

  /** True where parents and the origin take GETs too. */
  boolean bypass();

  boolean joins();

  double flowKbPerSecond();

  long purgeTakes();

  double coldShare();

  long coldTime();

  double fallMultiple();

  long fallTime();

  double parentColdShare();

  long parentColdTime();

  double parentFallMultiple();
}
