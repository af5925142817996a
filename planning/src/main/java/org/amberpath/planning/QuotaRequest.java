package org.amberpath.planning;

/**
 * What a forwarder tells its planner to be granted a share.
 *
 * @param sequenceNumber the forwarder's number of this ask, growing
 * @param instanceId which start of the forwarder it is from: a later start knows of no grant
 * @param term the term of the last grant taken; 0 for none
 * @param grantNumber its number: in force, and all before it void
 * @param echoedNanos the planner's time in that grant, {@link Long#MIN_VALUE} for none: the ask was
 *     made after it
 * @param wanted how much of each resource it could use
 */
@SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
public record QuotaRequest(
    int member,
    long instanceId,
    long sequenceNumber,
    long term,
    long grantNumber,
    long echoedNanos,
    double[] wanted) {}
