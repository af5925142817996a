package org.amberpath.routing;

/** The state of an endpoint as discovery lists it, from the least to the most restrictive. */
public enum EndpointState {
  /** Accepts attempts and fills. */
  UP,
  /** Accepts no new attempts or fills after the drain's grace period. */
  DRAINING,
  /** Removed; the same id listed again denotes a different endpoint. */
  GONE
}
