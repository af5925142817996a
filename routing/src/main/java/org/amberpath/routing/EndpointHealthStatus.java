package org.amberpath.routing;

/** How an edge cache looks from this gateway, for health checks that one gateway makes for all. */
public enum EndpointHealthStatus {
  /** Ejected, or silent while a request waits for it: a health check is wanted. */
  SUSPECT,
  /** Needs no health check. */
  HEALTHY,
  /** Has just answered this gateway. */
  RESPONSIVE
}
