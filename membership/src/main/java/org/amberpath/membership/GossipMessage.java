package org.amberpath.membership;

import java.util.List;

/**
 * One datagram, decoded.
 *
 * @param recipientInstanceId the birth of the process that it is meant for; 0 where its sender
 *     knows only an address
 * @param sequenceNumber rises with each datagram of its sender
 * @param probeNumber of the probe that it belongs to, of its sender or of who asked for it
 * @param countedDigest a digest of the names that its sender counts
 * @param presentDigest a digest of those that its sender holds to be there
 * @param subject of {@link Kind#ASK}: who is to be probed; of {@link Kind#SYNC} and {@link
 *     Kind#PAGE}: the name after which its list begins; null otherwise
 * @param fullySynced whether its sender has heard a whole list itself
 * @param hasMore of {@link Kind#PAGE}: whether the sender's list goes on
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
  /**
   * Probe, its answer, a probe on another's behalf, word that there was no answer so far, and lists
   * both ways.
   */
  public enum Kind {
    PING,
    ACK,
    ASK,
    NACK,
    SYNC,
    PAGE
  }
}
