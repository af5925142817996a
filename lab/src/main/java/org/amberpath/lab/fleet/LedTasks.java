package org.amberpath.lab.fleet;

/** The tasks that the leading gateway carries out for the fleet. */
public enum LedTasks {
  /** None: each gateway works on its own. */
  ALONE,

  /** Health checks of ejected caches. */
  PROBE,

  /** Health checks of ejected caches, and prefetching into caches that warm up. */
  PROBE_AND_WARM;

  boolean includesHealthChecks() {
    return this != ALONE;
  }

  boolean includesPrefetch() {
    return this == PROBE_AND_WARM;
  }
}
