package org.amberpath.gateway.client;

/** What a client has sent so far; a connection of lower activity is closed first. */
public enum ClientActivity {
  /** No complete message, or half of the next one. */
  AWAITING_MESSAGE,
  /** Messages, but no valid request. */
  NO_REQUEST,
  /** Requests. */
  REQUESTS
}
