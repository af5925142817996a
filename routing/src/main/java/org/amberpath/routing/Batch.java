package org.amberpath.routing;

/**
 * The context of a batch of events, all of which are decided at the same time.
 *
 * @param nowNanos the time at which the batch is decided, in nanoseconds
 * @param actions receives the decisions, in order
 */
record Batch(long nowNanos, RoutingActions actions) {}
