package org.amberpath.routing;

/**
 * A batch of events that is decided at one time.
 *
 * @param nowNanos the time at which the whole batch is decided, in nanoseconds
 * @param actions carries out the decisions, in order
 */
record Batch(long nowNanos, RoutingActions actions) {}
