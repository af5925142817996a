package org.amberpath.leadership.runtime;

import io.vertx.core.json.JsonObject;
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.leadership.CachePrefetch;
import org.amberpath.leadership.Leadership;
import org.amberpath.membership.runtime.MembershipService;

/** Sends the leader's prefetch requests to endpoints that are in slow start. */
final class CachePrefetchTask implements TaskRunner {
  private final MembershipService membership;
  private final CachePrefetch prefetch = new CachePrefetch();
  private final long requestTimeoutNanos;
  private boolean draining;
  private long started;
  private long answered;

  CachePrefetchTask(MembershipService membership, long requestTimeoutNanos) {
    this.membership = membership;
    this.requestTimeoutNanos = requestTimeoutNanos;
  }

  @Override
  public String task() {
    return CachePrefetch.TASK;
  }

  @Override
  public boolean isIdle() {
    return prefetch.isIdle();
  }

  void endpointWarmingUp(long nowNanos, String endpoint, long untilNanos) {
    prefetch.endpointWarmingUp(nowNanos, endpoint, untilNanos);
  }

  @Override
  public void drainStarted() {
    draining = true;
  }

  @Override
  public void tick(long nowNanos, Leadership leadership) {
    prefetch.tick();
    startRequests(leadership);
  }

  private void startRequests(Leadership leadership) {
    long nowNanos = membership.nowNanos();
    while (!draining
        && leadership.isLeaderFor(nowNanos, requestTimeoutNanos)
        && prefetch.tryStartRequest(nowNanos)) {
      if (!sendRequest(leadership)) {
        prefetch.passEnded(nowNanos);
        return;
      }
      started++;
    }
  }

  private boolean sendRequest(Leadership leadership) {
    return membership
        .callbacks()
        .sendSyntheticRequest(
            null,
            requestTimeoutNanos,
            outcome -> {
              answered += outcome == FleetCallbacks.SyntheticOutcome.ANSWERED ? 1 : 0;
              prefetch.requestEnded();
              startRequests(leadership);
            });
  }

  @Override
  public void addStatus(JsonObject status) {
    status.put("done", answered).put("looked_at", started);
  }
}
