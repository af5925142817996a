package org.amberpath.registry;

/** Why a call to an endpoint ended without what it was made for. */
public enum RegistryFailure {
  /** Nothing listens there, or the way there is shut. */
  REFUSED,
  /** Nothing was heard within the time that the call had. */
  TIMED_OUT,
  /** The connection broke, or the server ended the call. */
  BROKEN,
  /** The server says that it can't serve now, or has no leader. */
  UNAVAILABLE,
  /** The server asks for fewer calls. */
  THROTTLED,
  /** The server does not take who asks. */
  UNAUTHORISED,
  /** No common ground for an encrypted connection, or not the server that was meant. */
  UNTRUSTED,
  /** What came is not as the protocol has it, or is past its bound. */
  UNREADABLE,
  /** A watch that stays behind what the registry holds. */
  LAGGING;

  /** Whether asking again soon can't help, since people must change something first. */
  boolean needsOperator() {
    return this == UNAUTHORISED || this == UNTRUSTED;
  }
}
