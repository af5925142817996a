package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.logging.Logger;
import org.amberpath.leadership.Leadership;

/** One task at one gateway: its tenure, and what is done under it. */
final class OwnedTask {
  private static final Logger LOG = Logger.getLogger(LeadershipService.class.getName());
  private static final long MS = 1_000_000;

  final TaskRunner work;
  final Leadership tenure;
  private final String name;
  private Leadership.State said = Leadership.State.FOLLOWING;

  OwnedTask(String name, TaskRunner work, Leadership tenure) {
    this.name = name;
    this.work = work;
    this.tenure = tenure;
  }

  /** Says what has changed. Bounds: no more than a few changes a lease. */
  void told() {
    if (tenure.state() != said) {
      LOG.info(
          name
              + ": owner: "
              + work.task()
              + " "
              + said
              + " -> "
              + tenure.state()
              + ", term "
              + tenure.term());
      said = tenure.state();
    }
  }

  void tick(long now) {
    if (now >= tenure.nextTickNanos()) {
      tenure.tick(now);
    }
    told();
    work.tick(now, tenure);
  }

  JsonObject page(long now) {
    JsonObject page =
        new JsonObject()
            .put("task", work.task())
            .put("state", tenure.state().name().toLowerCase(Locale.ROOT))
            .put("holds", tenure.isLeader(now))
            .put("term", tenure.term())
            .put("left_ms", tenure.isLeader(now) ? (tenure.leaseExpiresAtNanos() - now) / MS : 0);
    work.page(page);
    return page;
  }
}
