package org.amberpath.leadership.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.PurgeRetention;
import org.amberpath.membership.runtime.MembershipService;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistryAdminClient;
import org.amberpath.registry.runtime.RegistrySettings;

/**
 * Takes purges' keys that are past their retention out of the registry; each deletion moves the
 * task's fence.
 */
final class PurgeRetentionTask implements TaskRunner {
  private final MembershipService company;
  private final RegistrySettings access;
  private final RegistryAdminClient registry;
  private final PurgeRetention sweep;
  private long swept, refused, failed;
  private boolean out;

  PurgeRetentionTask(Vertx vertx, MembershipService company, RegistrySettings access, long every) {
    this.company = company;
    this.access = access;
    registry = new RegistryAdminClient(vertx, access);
    sweep = new PurgeRetention(access.purgeRetentionNanos(), every);
  }

  @Override
  public String task() {
    return PurgeRetention.TASK;
  }

  @Override
  public boolean isIdle() {
    return !out;
  }

  /**
   * Belief is looked at again before the deletion is written; what is written under an older term
   * deletes nothing.
   */
  @Override
  public void tick(long now, Leadership tenure) {
    if (!tenure.isLeader(now) || !sweep.isDue(now)) {
      return;
    }
    long term = tenure.term();
    String key = access.prefix() + RecordCodec.TASKS_PREFIX + PurgeRetention.TASK;
    sweep.sweepStarted();
    out = true;
    registry
        .list()
        .compose(
            all -> {
              RegistryEntry fence = PurgeRetention.findFence(all, key);
              long seen = fence == null ? 0 : ((RegistryRecord.Task) fence.value()).term();
              List<RegistryEntry> old =
                  sweep.expiredPurges(all, company.nowNanos(), System.currentTimeMillis());
              if (seen > term) {
                refused++;
                tenure.higherTermSeen(company.nowNanos(), seen);
                return Future.succeededFuture(0);
              }
              if (old.isEmpty() || !tenure.isLeader(company.nowNanos()) || tenure.term() != term) {
                return Future.succeededFuture(0);
              }
              return registry
                  .deletePurges(
                      PurgeRetention.TASK,
                      new RegistryRecord.Task(term, company.name()),
                      fence,
                      old)
                  .map(
                      done -> {
                        swept += done ? old.size() : 0;
                        refused += done ? 0 : 1;
                        return done ? old.size() : 0;
                      });
            })
        .onComplete(
            done -> {
              failed += done.failed() ? 1 : 0;
              out = false;
              sweep.sweepEnded(company.nowNanos(), done.succeeded() ? done.result() : 0);
            });
  }

  @Override
  public void page(JsonObject to) {
    to.put("done", swept).put("refused", refused).put("failed", failed);
  }

  @Override
  public void close() {
    registry.close();
  }
}
