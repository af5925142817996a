package org.amberpath.lab.fleet;

/** How a gateway admits requests when it starts after a power loss of the whole fleet. */
public enum OpeningPolicy {
  /** All requests immediately. */
  AT_ONCE,

  /** All requests, from a time that each gateway draws at random. */
  STAGGERED,

  /** A growing rate, which is raised and lowered by how many admitted requests succeed in time. */
  BY_RETURNS
}
