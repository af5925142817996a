package org.amberpath.routing;

/**
 * The configuration of one traffic class.
 *
 * @param idempotency whether a request may be executed twice
 * @param idempotencyScope which endpoints drop repeats with the same idempotency key
 * @param idempotencyWindowNanos how long endpoints remember an idempotency key
 * @param latencyObjectiveNanos the fixed part of the latency objective, which does not depend on a
 *     response's own duration
 * @param latencyStretch the factor of a response's own duration that is added to the objective
 * @param revenue the revenue of one served request, in the configuration's unit
 * @param neverCached whether no response of the class is cached
 * @param freshNanos how long a copy is fresh; 0 for until it is purged
 * @param staleGraceNanos how long past its fresh time a copy may still be returned
 */
public record TrafficClassConfig(
    Idempotency idempotency,
    IdempotencyScope idempotencyScope,
    long idempotencyWindowNanos,
    long latencyObjectiveNanos,
    double latencyStretch,
    double revenue,
    boolean neverCached,
    long freshNanos,
    long staleGraceNanos) {}
