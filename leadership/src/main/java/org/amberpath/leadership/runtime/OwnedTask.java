package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.logging.Logger;
import org.amberpath.leadership.Leadership;

/** One task at this gateway: its leadership, and the runner that acts under it. */
final class OwnedTask {
  private static final Logger LOG = Logger.getLogger(LeadershipService.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final TaskRunner runner;
  private final Leadership leadership;
  private final String gateway;
  private Leadership.State loggedState = Leadership.State.FOLLOWING;

  OwnedTask(String gateway, TaskRunner runner, Leadership leadership) {
    this.gateway = gateway;
    this.runner = runner;
    this.leadership = leadership;
  }

  TaskRunner runner() {
    return runner;
  }

  Leadership leadership() {
    return leadership;
  }

  String name() {
    return runner.task();
  }

  /** Logs a change of state, of which there are no more than a few per lease. */
  void logTransition() {
    if (leadership.state() != loggedState) {
      LOG.info(
          gateway
              + ": leadership: state changed task="
              + name()
              + " from="
              + loggedState
              + " to="
              + leadership.state()
              + " term="
              + leadership.term());
      loggedState = leadership.state();
    }
  }

  void tick(long nowNanos) {
    if (nowNanos >= leadership.nextTickNanos()) {
      leadership.tick(nowNanos);
    }
    logTransition();
    runner.tick(nowNanos, leadership);
  }

  /** Returns the task's part of the admin endpoint's answer. */
  JsonObject status(long nowNanos) {
    boolean leads = leadership.isLeader(nowNanos);
    JsonObject status =
        new JsonObject()
            .put("task", name())
            .put("state", leadership.state().name().toLowerCase(Locale.ROOT))
            .put("holds", leads)
            .put("term", leadership.term())
            .put(
                "left_ms",
                leads ? (leadership.leaseExpiresAtNanos() - nowNanos) / NANOS_PER_MILLI : 0);
    runner.addStatus(status);
    return status;
  }
}
