package org.amberpath.routing;

/**
 * What every step of one batch of events shares.
 *
 * @param nowNanos the time at which the whole batch is decided, in nanoseconds
 * @param actions takes what is decided, in order
 */
record Batch(long nowNanos, RoutingActions actions) {}
