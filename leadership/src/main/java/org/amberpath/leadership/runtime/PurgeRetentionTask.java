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
 * Deletes purges past their retention from the registry. Each deletion writes the task's key in the
 * same transaction, which fences the deletion: a leader with an older term deletes nothing.
 */
final class PurgeRetentionTask implements TaskRunner {
  private final MembershipService membership;
  private final RegistryAdminClient registry;
  private final PurgeRetention retention;
  private final String fenceKey;
  private long deleted;
  private long refused;
  private long failed;
  private boolean sweeping;

  PurgeRetentionTask(
      Vertx vertx, MembershipService membership, RegistrySettings settings, long intervalNanos) {
    this.membership = membership;
    registry = new RegistryAdminClient(vertx, settings);
    retention = new PurgeRetention(settings.purgeRetentionNanos(), intervalNanos);
    fenceKey = settings.prefix() + RecordCodec.TASKS_PREFIX + PurgeRetention.TASK;
  }

  @Override
  public String task() {
    return PurgeRetention.TASK;
  }

  @Override
  public boolean isIdle() {
    return !sweeping;
  }

  @Override
  public void tick(long nowNanos, Leadership leadership) {
    if (!leadership.isLeader(nowNanos) || !retention.isDue(nowNanos)) {
      return;
    }
    long term = leadership.term();
    retention.sweepStarted();
    sweeping = true;
    registry
        .list()
        .compose(entries -> deleteExpired(entries, term, leadership))
        .onComplete(
            result -> {
              failed += result.failed() ? 1 : 0;
              sweeping = false;
              retention.sweepEnded(membership.nowNanos(), result.succeeded() ? result.result() : 0);
            });
  }

  /**
   * Deletes the expired purges if this gateway still leads under the term. Returns how many were
   * deleted.
   */
  private Future<Integer> deleteExpired(
      List<RegistryEntry> entries, long term, Leadership leadership) {
    RegistryEntry fence = PurgeRetention.findFence(entries, fenceKey);
    long seenTerm = fence == null ? 0 : ((RegistryRecord.Task) fence.value()).term();
    List<RegistryEntry> expired =
        retention.expiredPurges(entries, membership.nowNanos(), System.currentTimeMillis());
    if (seenTerm > term) {
      refused++;
      leadership.higherTermSeen(membership.nowNanos(), seenTerm);
      return Future.succeededFuture(0);
    }
    if (expired.isEmpty()
        || !leadership.isLeader(membership.nowNanos())
        || leadership.term() != term) {
      return Future.succeededFuture(0);
    }
    RegistryRecord.Task leader = new RegistryRecord.Task(term, membership.name());
    return registry
        .deletePurges(PurgeRetention.TASK, leader, fence, expired)
        .map(admitted -> recordDeletion(admitted, expired.size()));
  }

  private int recordDeletion(boolean admitted, int count) {
    if (!admitted) {
      refused++;
      return 0;
    }
    deleted += count;
    return count;
  }

  @Override
  public void addStatus(JsonObject status) {
    status.put("done", deleted).put("refused", refused).put("failed", failed);
  }

  @Override
  public void close() {
    registry.close();
  }
}
