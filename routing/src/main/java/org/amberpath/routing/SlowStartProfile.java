package org.amberpath.routing;

/** How endpoints of one kind warm up, and how much work this gateway may send them meanwhile. */
final class SlowStartProfile {
  /** The fraction of its capacity that an endpoint has when it starts, 0 to 1. */
  final double initialFraction;

  /** The time from an endpoint's start until it has its full capacity, in nanoseconds. */
  final long durationNanos;

  /** The multiple of its capacity that an endpoint is certain to serve. */
  final double overloadFactor;

  /** This gateway's share of an endpoint of the kind, 0 to 1; 0 while the gateway has no share. */
  double gatewayFraction;

  /**
   * Work per second that a warm endpoint of the kind returns to this gateway, but at least {@link
   * #gatewayFraction}.
   */
  double typicalThroughput;

  /** Creates a profile whose typical throughput is this gateway's fraction until it is learned. */
  SlowStartProfile(SlowStartConfig config, double gatewayFraction) {
    initialFraction = config.initialFraction();
    durationNanos = config.durationNanos();
    overloadFactor = config.overloadFactor();
    this.gatewayFraction = gatewayFraction;
    typicalThroughput = gatewayFraction;
  }
}
