package org.amberpath.membership;

import java.util.List;

/**
 * One decoded message of the membership protocol. Every message carries the sender's update about
 * itself, the sender's digests and piggybacked gossip.
 *
 * @param kind the purpose of the message
 * @param sender the sender's update about itself
 * @param recipientInstanceId the instance id of the process that the message is addressed to; 0 if
 *     the sender knows only an address
 * @param sequenceNumber increases with each datagram of the sender
 * @param probeNumber the number of the request that the message belongs to: a number of the sender
 *     in requests, the receiver's number in answers; 0 if the message belongs to no request
 * @param countedDigest the digest of the names that the sender counts when it divides fleet-wide
 *     limits
 * @param presentDigest the digest of the names of the members that the sender sees as present
 * @param subject in {@link Kind#ASK}: the name of the member to be probed; in {@link Kind#SYNC} and
 *     {@link Kind#PAGE}: the name after which the page begins, null for the beginning of the list;
 *     null otherwise
 * @param hasMore whether the sender's list continues after the page in this message; false in
 *     messages without a page
 * @param fullySynced whether the sender has received a complete member list
 * @param updates piggybacked gossip, or the page of {@link Kind#SYNC} and {@link Kind#PAGE}
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
  /** The purpose of a message. The ordinals are written to the wire. */
  public enum Kind {
    /** A direct probe, which the receiver answers with {@link #ACK}. */
    PING,
    /** The acknowledgement of a direct or indirect probe. */
    ACK,
    /** A request to probe another member on the sender's behalf: SWIM's ping-req. */
    ASK,
    /**
     * Reports that an indirect probe has not been acknowledged in time. With probe number 0 the
     * message belongs to no probe: it introduces the sender's process, announces that the sender
     * leaves, or carries the sender's table entry of the receiver.
     */
    NACK,
    /**
     * Anti-entropy: a page of the sender's list and a request for the same page of the receiver.
     */
    SYNC,
    /** Anti-entropy: the requested page. */
    PAGE
  }
}
