package org.amberpath.membership.runtime;

import org.amberpath.membership.GossipMessage;

/** The result of decoding a datagram: a message, or the reason why the datagram is rejected. */
public sealed interface DecodedDatagram {
  /** The reason why a datagram is rejected. */
  enum RejectionReason {
    /** The datagram is malformed or too long, or a value is out of its bounds. */
    MALFORMED,
    /** The datagram has another format version. */
    UNSUPPORTED_VERSION,
    /** The datagram belongs to another fleet. */
    WRONG_FLEET,
    /** The id of the signing key is not in this gateway's keyring. */
    UNKNOWN_KEY,
    /** The signature does not match the signing key that the datagram names. */
    INVALID_SIGNATURE
  }

  /** A message of the membership protocol. */
  record Gossip(GossipMessage message) implements DecodedDatagram {}

  /** A message between the {@link FleetMessageHandler}s of two members. */
  record User(UserMessage message) implements DecodedDatagram {}

  /** A rejected datagram, none of whose content is used. */
  record Rejected(RejectionReason reason) implements DecodedDatagram {}
}
