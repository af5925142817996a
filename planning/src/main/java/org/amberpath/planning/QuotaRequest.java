package org.amberpath.planning;

/**
 * A member's request for shares, which also confirms the last grant that it has applied.
 *
 * @param member the index of the member
 * @param instanceId which start of the member it is from; a later start knows of no grant
 * @param sequenceNumber the member's number of this request, growing
 * @param term the term of the last grant applied; 0 for none
 * @param grantNumber the number of that grant: it is in force, and all before it are void
 * @param echoedNanos the leader's time in that grant, {@link Long#MIN_VALUE} for none: the request
 *     was made after it
 * @param wanted how much of each resource the member could use
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
