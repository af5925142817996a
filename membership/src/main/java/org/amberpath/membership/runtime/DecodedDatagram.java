package org.amberpath.membership.runtime;

import org.amberpath.membership.GossipMessage;

/** What a datagram holds. */
public sealed interface DecodedDatagram {
  /** Why a datagram is rejected. */
  enum Fault {
    /** Not of the form of this version, too long, or a value out of its bounds. */
    UNREADABLE,
    /** Of another version of the form. */
    OTHER_VERSION,
    /** Of another fleet. */
    OTHER_FLEET,
    /** Signed by a key that this gateway doesn't have. */
    OTHER_KEY,
    /** The signature is not that of the key that it names. */
    FORGED
  }

  /** A message of the membership protocol. */
  record Gossip(GossipMessage message) implements DecodedDatagram {}

  /** A message between two members' {@link FleetMessageHandler}s. */
  record User(UserMessage message) implements DecodedDatagram {}

  /** A datagram of which nothing is believed. */
  record Rejected(Fault fault) implements DecodedDatagram {}
}
