package org.amberpath.lab.fleet;

/** How a gateway admits requests when it starts after all gateways have lost power. */
public enum OpeningPolicy {
  /** All requests immediately. */
  AT_ONCE,

  /** All requests, from a time that each gateway draws at random. */
  STAGGERED,

  /** A growing rate, which is raised and lowered by how many admitted requests succeed in time. */
  BY_RETURNS
}
