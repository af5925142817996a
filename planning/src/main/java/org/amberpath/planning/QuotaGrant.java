package org.amberpath.planning;

/**
 * A forwarder's shares of all resources, by one planner.
 *
 * @param term the planner's; a lower one than known is passed over
 * @param number growing within a term, over all members
 * @param requestNumber the ask that it answers: its time holds from when that was made
 * @param grantedAtNanos the planner's own time, to be echoed
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
