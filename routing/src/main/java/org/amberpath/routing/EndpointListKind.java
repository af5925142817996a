package org.amberpath.routing;

/** What the endpoint list that follows is. */
public enum EndpointListKind {
  /** Only the endpoints that changed. */
  CHANGES,
  /** All endpoints: those that are not listed are gone. */
  FULL,
  /** No list: discovery has ended the subscription. */
  NONE
}
