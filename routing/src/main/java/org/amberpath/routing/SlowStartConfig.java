package org.amberpath.routing;

/**
 * How endpoints of one kind warm up after a start without copies.
 *
 * @param initialFraction the part of its capacity that an endpoint has when it starts, 0 to 1
 * @param durationNanos after how long it has all of it
 * @param overloadFactor the multiple of its capacity at which an endpoint is overloaded
 */
public record SlowStartConfig(double initialFraction, long durationNanos, double overloadFactor) {}
