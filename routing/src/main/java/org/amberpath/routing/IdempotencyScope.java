package org.amberpath.routing;

/**
 * Which endpoints share idempotency keys, so that each of them discards the repeat of a request
 * that another of them has executed.
 */
public enum IdempotencyScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of one zone. */
  ZONE,
  /** The endpoints of one cell: a shelf or rack. */
  CELL
}
