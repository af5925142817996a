package org.amberpath.leadership.runtime;

import org.amberpath.membership.runtime.FleetCompany;
import org.amberpath.gateway.Company;
import org.amberpath.leadership.Ahead;
import org.amberpath.leadership.Tenure;
import io.vertx.core.json.JsonObject;

/** What viewers will ask for is filled into caches that have just started, by one gateway, by GETs of its own. */
final class AheadWork implements Work {
  private final FleetCompany company;
  private final Ahead ahead = new Ahead();
  private final long act;
  private boolean draining;
  private long made, filled;

  AheadWork(FleetCompany company, long act) {
    this.company = company;
    this.act = act;
  }

  @Override public String task() {
    return Ahead.TASK;
  }

  @Override public boolean isIdle() {
    return ahead.isIdle();
  }

  void cold(long now, String cache, long until) {
    ahead.cold(now, cache, until);
  }

  void draining() {
    draining = true;
  }

  @Override public void tick(long now, Tenure tenure) {
    ahead.tick();
    go(tenure);
  }

  private void go(Tenure tenure) {
    long now = company.now();
    while (!draining && tenure.holdsFor(now, act) && ahead.next(now)) {
      boolean begun = company.ways().own(null, act, what -> {
        filled += what == Company.Own.ANSWERED ? 1 : 0;
        ahead.ended();
        go(tenure);
      });
      if (!begun) {
        ahead.turnOver(now);
        return;
      }
      made++;
    }
  }

  @Override public void page(JsonObject to) {
    to.put("done", filled).put("looked_at", made);
  }
}
