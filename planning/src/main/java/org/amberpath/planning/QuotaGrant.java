package org.amberpath.planning;

/**
 * A forwarder's shares of all resources, by one planner.
 *
 * @param term the planner's; a lower one than known is passed over
 * @param number growing within a term, over all members
 * @param answers the ask that it answers: its time holds from when that was made
 * @param stamp the planner's own time, to be echoed
 */
@SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
public record QuotaGrant(
    int member, long run, long answers, long term, long number, long stamp, double[] amounts) {}
