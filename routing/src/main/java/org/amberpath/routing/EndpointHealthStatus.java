package org.amberpath.routing;

/**
 * The health of an edge cache as this gateway sees it, for health checks that one gateway makes for
 * all.
 */
public enum EndpointHealthStatus {
  /** Ejected, or silent while one of its requests is overdue: a health check is wanted. */
  SUSPECT,
  /** Needs no health check. */
  HEALTHY,
  /** Has just answered this gateway. */
  RESPONSIVE
}
