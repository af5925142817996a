package org.amberpath.membership;

import java.util.List;

/**
 * One datagram, decoded.
 *
 * @param to the birth of the process that it is meant for; 0 where its sender knows only an address
 * @param serial rises with each datagram of its sender
 * @param number of the probe that it belongs to, of its sender or of who asked for it
 * @param names a digest of the names that its sender counts
 * @param there a digest of those that its sender holds to be there
 * @param about of {@link Kind#ASK}: who is to be probed; of {@link Kind#SYNC} and {@link
 *     Kind#PAGE}: the name after which its list begins; null otherwise
 * @param whole whether its sender has heard a whole list itself
 * @param more of {@link Kind#PAGE}: whether the sender's list goes on
 */
public record GossipMessage(
    Kind kind,
    MemberUpdate from,
    long to,
    long serial,
    long number,
    long names,
    long there,
    String about,
    boolean more,
    boolean whole,
    List<MemberUpdate> rumours) {
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
