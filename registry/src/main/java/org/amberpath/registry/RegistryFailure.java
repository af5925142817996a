package org.amberpath.registry;

/** Why a call to an endpoint failed. Log lines contain these names. */
public enum RegistryFailure {
  /** The connection was refused. */
  REFUSED,
  /** The call passed its deadline without a complete response. */
  TIMED_OUT,
  /** The connection was lost, or the server ended the call. */
  BROKEN,
  /** The server can't serve requests at present, or its cluster has no leader. */
  UNAVAILABLE,
  /** The server limits the request rate. */
  THROTTLED,
  /** The server rejects the token, or the token does not permit the request. */
  UNAUTHORISED,
  /** The TLS handshake failed: no common version, or an untrusted certificate. */
  UNTRUSTED,
  /** The response does not follow the protocol, or exceeds a bound. */
  UNREADABLE,
  /** A watch delivers changes later than heartbeats report them. */
  LAGGING;

  /** Whether retries can't succeed before an operator has changed something. */
  boolean needsOperator() {
    return this == UNAUTHORISED || this == UNTRUSTED;
  }
}
