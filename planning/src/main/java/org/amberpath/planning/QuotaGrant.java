package org.amberpath.planning;

/**
 * A member's shares of all resources, granted by one leader.
 *
 * @param member the index of the member that the grant is for
 * @param instanceId identifies the start of the member that the grant is for
 * @param requestNumber the sequence number of the request that the grant answers; the time of the
 *     grant counts from when that request was made
 * @param term the leader's term; the member rejects a grant of a lower term than that of the last
 *     one applied
 * @param number the number of the grant, which grows within a term over all members
 * @param grantedAtNanos when the grant was made, by the leader's clock; the member's next request
 *     echoes it
 * @param amounts the share of each resource
 */
@SuppressWarnings("ArrayRecordComponent") // Instances are passed on, never compared.
public record QuotaGrant(
    int member,
    long instanceId,
    long requestNumber,
    long term,
    long number,
    long grantedAtNanos,
    double[] amounts) {}
