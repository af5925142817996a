package org.amberpath.planning;

/**
 * A member's request for shares, which also confirms the last grant that it has applied.
 *
 * @param member the index of the member
 * @param instanceId identifies the start of the member that the request is from; a restarted member
 *     has no record of earlier grants
 * @param sequenceNumber the number of this request, which grows within a start of the member
 * @param term the term of the last grant applied; 0 for none
 * @param grantNumber the number of that grant: that grant is in force, and all earlier ones are
 *     void
 * @param echoedNanos the time of that grant by the leader's clock, {@link Long#MIN_VALUE} for none;
 *     the request was made later
 * @param wanted how much of each resource the member could use
 */
@SuppressWarnings("ArrayRecordComponent") // Instances are passed on, never compared.
public record QuotaRequest(
    int member,
    long instanceId,
    long sequenceNumber,
    long term,
    long grantNumber,
    long echoedNanos,
    double[] wanted) {}
