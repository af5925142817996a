package org.amberpath.routing;

/** State of an endpoint as discovery lists it, from the least to the most restrictive. */
public enum EndpointState {
  /** Takes attempts and fills. */
  UP,
  /** Takes no new attempts or fills after the drain's grace. */
  DRAINING,
  /** Removed; the same id listed again is another endpoint. */
  GONE
}
