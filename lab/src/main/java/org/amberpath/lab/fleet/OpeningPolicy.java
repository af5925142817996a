package org.amberpath.lab.fleet;

/** How a gateway opens after all have lost power. */
public enum OpeningPolicy {
  /** At once, for all. */
  AT_ONCE,

  /** At a random time, for all. */
  STAGGERED,

  /** For more and more, by what comes back in time. */
  BY_RETURNS
}
