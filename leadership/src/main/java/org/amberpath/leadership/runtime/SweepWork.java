package org.amberpath.leadership.runtime;

import org.amberpath.membership.runtime.FleetCompany;
import org.amberpath.leadership.Sweep;
import org.amberpath.leadership.Tenure;
import org.amberpath.registry.Content;
import org.amberpath.registry.Held;
import org.amberpath.registry.runtime.KeyForm;
import org.amberpath.registry.runtime.RegistryAccess;
import org.amberpath.registry.runtime.RegistryDesk;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Takes purges' keys that are past their retention out of the registry; each deletion moves the task's fence. */
final class SweepWork implements Work {
  private final FleetCompany company;
  private final RegistryAccess access;
  private final RegistryDesk registry;
  private final Sweep sweep;
  private long swept, refused, failed;
  private boolean out;

  SweepWork(Vertx vertx, FleetCompany company, RegistryAccess access, long every) {
    this.company = company;
    this.access = access;
    registry = new RegistryDesk(vertx, access);
    sweep = new Sweep(access.retention(), every);
  }

  @Override public String task() {
    return Sweep.TASK;
  }

  @Override public boolean isIdle() {
    return !out;
  }

  /** Belief is looked at again before the deletion is written; what is written under an older term deletes nothing. */
  @Override public void tick(long now, Tenure tenure) {
    if (!tenure.holds(now) || !sweep.isDue(now)) {
      return;
    }
    long term = tenure.term();
    String key = access.prefix() + KeyForm.TASKS + Sweep.TASK;
    sweep.began();
    out = true;
    registry.list().compose(all -> {
      Held fence = Sweep.fence(all, key);
      long seen = fence == null ? 0 : ((Content.Task) fence.content()).term();
      List<Held> old = sweep.old(all, company.now(), System.currentTimeMillis());
      if (seen > term) {
        refused++;
        tenure.outranked(company.now(), seen);
        return Future.succeededFuture(0);
      }
      if (old.isEmpty() || !tenure.holds(company.now()) || tenure.term() != term) {
        return Future.succeededFuture(0);
      }
      return registry.sweep(Sweep.TASK, new Content.Task(term, company.name()), fence, old).map(done -> {
        swept += done ? old.size() : 0;
        refused += done ? 0 : 1;
        return done ? old.size() : 0;
      });
    }).onComplete(done -> {
      failed += done.failed() ? 1 : 0;
      out = false;
      sweep.ended(company.now(), done.succeeded() ? done.result() : 0);
    });
  }

  @Override public void page(JsonObject to) {
    to.put("done", swept).put("refused", refused).put("failed", failed);
  }

  @Override public void close() {
    registry.close();
  }
}
