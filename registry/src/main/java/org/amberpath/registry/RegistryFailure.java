package org.amberpath.registry;

/** Why a call to an endpoint has failed; log lines name these. */
public enum RegistryFailure {
  /** The connection was refused. */
  REFUSED,
  /** No answer within the time that the call had. */
  TIMED_OUT,
  /** The connection broke, or the server ended the call. */
  BROKEN,
  /** The server can't serve now, or its cluster has no leader. */
  UNAVAILABLE,
  /** The server asks for fewer calls. */
  THROTTLED,
  /** The server rejects the token, or what it permits. */
  UNAUTHORISED,
  /** TLS has failed: no common version, or a certificate that is not trusted. */
  UNTRUSTED,
  /** The answer is not as the protocol has it, or is past its bound. */
  UNREADABLE,
  /** A watch has stayed behind what heartbeats show. */
  LAGGING;

  /** Whether retries are of no use before an operator has changed something. */
  boolean needsOperator() {
    return this == UNAUTHORISED || this == UNTRUSTED;
  }
}
