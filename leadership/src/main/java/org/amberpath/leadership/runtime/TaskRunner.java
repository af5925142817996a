package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import org.amberpath.leadership.Leadership;

/**
 * What is done under one task, by whoever owns it. Belief is looked at again in the moment of each
 * act.
 */
interface TaskRunner {
  String task();

  /** Several times a period, in every gateway; it acts only as far as the tenure lets it. */
  void tick(long now, Leadership tenure);

  /** Whether nothing of it is under way. */
  boolean isIdle();

  /** Adds what operators see of it. */
  void page(JsonObject to);

  default void close() {}
}
