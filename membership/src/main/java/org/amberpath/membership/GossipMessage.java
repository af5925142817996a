package org.amberpath.membership;

import java.util.List;

/**
 * One message of the protocol, decoded. Each tells its receiver of the sender itself and carries
 * gossip along.
 *
 * @param kind what it is for
 * @param sender what the sender says of itself
 * @param recipientInstanceId the process that it is meant for; 0 where the sender knows only an
 *     address
 * @param sequenceNumber rises with each datagram of the sender
 * @param probeNumber of the request that it belongs to: the sender's own, or in answers the
 *     receiver's; 0 for none
 * @param countedDigest a digest of the names that the sender counts
 * @param presentDigest a digest of the names of those that are present for the sender
 * @param subject of {@link Kind#ASK}: who is to be probed; of {@link Kind#SYNC} and {@link
 *     Kind#PAGE}: the name after which the page begins, null for the beginning; null otherwise
 * @param hasMore of {@link Kind#PAGE}: whether the sender's list goes on after this page
 * @param fullySynced whether the sender has heard a whole list itself
 * @param updates gossip, or the page
 */
public record GossipMessage(
    Kind kind,
    MemberUpdate sender,
    long recipientInstanceId,
    long sequenceNumber,
    long probeNumber,
    long countedDigest,
    long presentDigest,
    String subject,
    boolean hasMore,
    boolean fullySynced,
    List<MemberUpdate> updates) {
  /** What a message is for. The order is the form on the wire. */
  public enum Kind {
    /** A probe; answered by {@link #ACK}. */
    PING,
    /** The answer to a probe, direct or indirect. */
    ACK,
    /** A request to probe another member: SWIM's ping-req. */
    ASK,
    /**
     * An indirect probe got no answer so far; with the number 0 a greeting, a leave, or what is
     * held of the receiver.
     */
    NACK,
    /** Anti-entropy: a page of the sender's list, and the request for the receiver's. */
    SYNC,
    /** Anti-entropy: the page that was asked for. */
    PAGE
  }
}
