package org.amberpath.routing;

/**
 * The health of an edge cache as this gateway sees it, for health checks that one gateway makes on
 * behalf of all.
 */
public enum EndpointHealthStatus {
  /**
   * The endpoint is ejected, or does not respond while one of its requests is overdue; it needs a
   * health check.
   */
  SUSPECT,
  /** The endpoint needs no health check. */
  HEALTHY,
  /** The endpoint has just responded to this gateway. */
  RESPONSIVE
}
