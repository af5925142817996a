package org.amberpath.gateway;

/**
 * What the router decided for one attempt.
 *
 * @param endpoint the index of the endpoint that the attempt goes to
 * @param untilNanos the clock time at which it times out; 0 or less for the request's deadline
 * @param source the index of the endpoint to fill from on a miss; the endpoint itself for none
 * @param maxAgeNanos the oldest copy that may be returned; 0 for any
 * @param priority the request's priority, 0 being the ordinary one
 * @param flags one bit for each of the flags of the endpoints' protocol
 */
record AttemptParameters(
    int endpoint, long untilNanos, int source, long maxAgeNanos, int priority, int flags) {}
