package org.amberpath.routing;

/** How the endpoint list that follows relates to the endpoints that are known. */
public enum EndpointListKind {
  /** The list contains only the endpoints that changed. */
  CHANGES,
  /** The list contains all endpoints; those that it does not contain are gone. */
  FULL,
  /** There is no list: discovery has ended the subscription. */
  NONE
}
