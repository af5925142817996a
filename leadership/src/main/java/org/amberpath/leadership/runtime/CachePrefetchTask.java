package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import org.amberpath.gateway.FleetCallbacks;
import org.amberpath.leadership.CachePrefetch;
import org.amberpath.leadership.Leadership;
import org.amberpath.membership.runtime.MembershipService;

/**
 * What viewers will ask for is filled into caches that have just started, by one gateway, by GETs
 * of its own.
 */
final class CachePrefetchTask implements TaskRunner {
  private final MembershipService company;
  private final CachePrefetch ahead = new CachePrefetch();
  private final long act;
  private boolean draining;
  private long made, filled;

  CachePrefetchTask(MembershipService company, long act) {
    this.company = company;
    this.act = act;
  }

  @Override
  public String task() {
    return CachePrefetch.TASK;
  }

  @Override
  public boolean isIdle() {
    return ahead.isIdle();
  }

  void cold(long now, String cache, long until) {
    ahead.endpointWarmingUp(now, cache, until);
  }

  void draining() {
    draining = true;
  }

  @Override
  public void tick(long now, Leadership tenure) {
    ahead.tick();
    go(tenure);
  }

  private void go(Leadership tenure) {
    long now = company.nowNanos();
    while (!draining && tenure.isLeaderFor(now, act) && ahead.tryStartRequest(now)) {
      boolean begun =
          company
              .callbacks()
              .sendSyntheticRequest(
                  null,
                  act,
                  what -> {
                    filled += what == FleetCallbacks.SyntheticOutcome.ANSWERED ? 1 : 0;
                    ahead.requestEnded();
                    go(tenure);
                  });
      if (!begun) {
        ahead.passEnded(now);
        return;
      }
      made++;
    }
  }

  @Override
  public void page(JsonObject to) {
    to.put("done", filled).put("looked_at", made);
  }
}
