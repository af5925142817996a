package org.amberpath.lab.fleet;

/** Which tasks one gateway carries out for the whole fleet. */
public enum LedTasks {
  /** None: each gateway is alone. */
  ALONE,

  /** Health checks of ejected caches. */
  PROBE,

  /** Health checks, and the filling of caches that warm up. */
  PROBE_AND_WARM;

  boolean includesHealthChecks() {
    return this != ALONE;
  }

  boolean includesPrefetch() {
    return this == PROBE_AND_WARM;
  }
}
