package org.amberpath.routing;

/** Whether running a request of a traffic class a second time has an effect of its own. */
public enum Idempotency {
  /** A repeat has no effect of its own. */
  IDEMPOTENT,
  /** Endpoints drop a repeat with the same idempotency key, within a scope and a window. */
  IDEMPOTENCY_KEY,
  /** A repeat takes effect again: never sent again unless known not to have run. */
  NON_IDEMPOTENT
}
