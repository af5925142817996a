package org.amberpath.gateway.client;

/**
 * What a client has sent on its connection so far. Connections are evicted in the order of the
 * constants, {@link #AWAITING_MESSAGE} first.
 */
public enum ClientActivity {
  /** No complete message yet, or the last message has been received only in part. */
  AWAITING_MESSAGE,
  /**
   * Complete messages, but no request other than for status since the connection was opened or
   * since its last invalid request.
   */
  NO_REQUEST,
  /** At least one request other than for status, and no invalid one since. */
  REQUESTS
}
