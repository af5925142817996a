package org.amberpath.routing;

/** Whether a request of a traffic class may be executed twice. */
public enum Idempotency {
  /** A repeat has no additional effect. */
  IDEMPOTENT,
  /**
   * Endpoints drop a repeat that carries the same idempotency key, within a scope and a time
   * window.
   */
  IDEMPOTENCY_KEY,
  /** A repeat takes effect again: a request is retried only if it is known not to have executed. */
  NON_IDEMPOTENT
}
