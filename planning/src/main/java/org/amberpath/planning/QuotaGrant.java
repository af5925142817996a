package org.amberpath.planning;

/**
 * A member's shares of all resources, granted by one leader.
 *
 * @param member the index of the member that it is for
 * @param instanceId which start of the member it is for
 * @param requestNumber the request that it answers: its time counts from when that was made
 * @param term the leader's; one below the highest known is rejected
 * @param number grows within a term, over all members
 * @param grantedAtNanos by the leader's clock; the next request echoes it
 * @param amounts the share of each resource
 */
@SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
public record QuotaGrant(
    int member,
    long instanceId,
    long requestNumber,
    long term,
    long number,
    long grantedAtNanos,
    double[] amounts) {}
