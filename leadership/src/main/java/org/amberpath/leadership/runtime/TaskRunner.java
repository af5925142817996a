package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import org.amberpath.leadership.Leadership;

/**
 * Runs one task at a gateway, whether that leads it or not. Leadership is checked again whenever
 * something is sent. Called on the event loop.
 */
interface TaskRunner {
  /** The task's name. */
  String task();

  /** Several times a probe interval; acts only as far as its leadership allows. */
  void tick(long nowNanos, Leadership leadership);

  /** The gateway drains: nothing new is begun. */
  default void drainStarted() {}

  /** Whether nothing of the task is in flight. */
  boolean isIdle();

  /** Adds what the admin endpoint shows of the task. */
  void addStatus(JsonObject status);

  /** Frees what it holds. */
  default void close() {}
}
