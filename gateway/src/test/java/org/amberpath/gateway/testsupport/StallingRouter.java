package org.amberpath.gateway.testsupport;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.pipeline.BatchRouter;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingEvents;

/**
 * A router that, once armed, blocks the event loop after routing the next batch, until it is
 * resumed or 10 s have passed.
 */
public final class StallingRouter implements BatchRouter {
  private final BatchRouter router;
  public final CountDownLatch stalled = new CountDownLatch(1);
  public final CountDownLatch resume = new CountDownLatch(1);
  public volatile boolean armed;

  /** Creates a router that delegates to a {@link RequestRouter} with the given options. */
  public StallingRouter(GatewayOptions options) {
    router = new RequestRouter(options.routingConfig())::decide;
  }

  @Override
  public void routeBatch(
      long nowNanos, RoutingEvents events, org.amberpath.routing.RoutingActions actions) {
    router.routeBatch(nowNanos, events, actions);
    if (armed) {
      armed = false;
      stalled.countDown();
      try {
        resume.await(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
