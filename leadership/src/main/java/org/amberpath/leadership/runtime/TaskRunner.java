package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import org.amberpath.leadership.Leadership;

/**
 * Runs one task at a gateway, whether or not the gateway leads it. Implementations check leadership
 * again whenever they send something. Called on the event loop.
 */
interface TaskRunner {
  /** The task's name. */
  String task();

  /** Called several times per probe interval; acts only as far as {@code leadership} allows. */
  void tick(long nowNanos, Leadership leadership);

  /** Called when the gateway starts to drain; the runner starts nothing new. */
  default void drainStarted() {}

  /** Whether nothing of the task is in flight. */
  boolean isIdle();

  /** Adds the task's fields to the admin endpoint's answer. */
  void addStatus(JsonObject status);

  /** Releases the runner's resources. */
  default void close() {}
}
