package org.amberpath.routing;

/**
 * How endpoints of one role warm up after they have started with an empty cache.
 *
 * @param initialFraction the fraction of its capacity that an endpoint has when it starts, 0 to 1
 * @param durationNanos the time from an endpoint's start until it has its full capacity
 * @param overloadFactor the multiple of its capacity at which an endpoint is overloaded
 */
public record SlowStartConfig(double initialFraction, long durationNanos, double overloadFactor) {}
