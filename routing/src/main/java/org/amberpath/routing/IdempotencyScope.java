package org.amberpath.routing;

/** Which endpoints share idempotency keys and therefore drop each other's repeats. */
public enum IdempotencyScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of one zone. */
  ZONE,
  /** The endpoints of one cell: a shelf or rack. */
  CELL
}
