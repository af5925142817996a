package org.amberpath.routing;

/**
 * The configuration of one traffic class.
 *
 * @param idempotency whether a repeat has an effect of its own
 * @param idempotencyScope which endpoints drop repeats with the same idempotency key
 * @param idempotencyWindowNanos how long an idempotency key is remembered
 * @param latencyObjectiveNanos how long an answer may take at best
 * @param latencyStretch by how much the objective grows with a request's own transfer time
 * @param revenue what one answered request is worth, in the configuration's unit
 * @param neverCached whether no answer of the class is ever cached
 * @param freshNanos how long a copy is fresh; 0 until it is purged
 * @param staleGraceNanos how long past that a copy may still be returned
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
