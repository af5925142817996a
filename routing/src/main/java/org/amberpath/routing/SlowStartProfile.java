package org.amberpath.routing;

/** How endpoints of one kind warm up, and what this gateway may send them meanwhile. */
final class SlowStartProfile {
  /** The part of its capacity that an endpoint has when it starts, 0 to 1. */
  final double initialFraction;

  /** After how long it has all of it, in nanoseconds. */
  final long durationNanos;

  /** How much more than its warm capacity's part an endpoint can surely serve. */
  final double overloadFactor;

  /** This gateway's part of an endpoint of the kind, 0 to 1; 0 while it may send nothing. */
  double gatewayFraction;

  /**
   * Work a second that a warm endpoint of the kind returns to this gateway, or the fraction where
   * that is more.
   */
  double typicalThroughput;

  /** A profile whose endpoints return this gateway's fraction until more is known. */
  SlowStartProfile(SlowStartConfig config, double gatewayFraction) {
    initialFraction = config.initialFraction();
    durationNanos = config.durationNanos();
    overloadFactor = config.overloadFactor();
    this.gatewayFraction = gatewayFraction;
    typicalThroughput = gatewayFraction;
  }
}
