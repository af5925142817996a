package org.amberpath.gateway.testsupport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.amberpath.gateway.pipeline.BatchRouter;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingEventHandler;
import org.amberpath.routing.RoutingEvents;

/** A router that blocks the event loop once, until the test resumes it or 20 s have passed. */
public final class PausingRouter implements BatchRouter {
  /** The id of the request that {@link #pauseAfterRequest} sends. */
  public static final String PAUSING_REQUEST_ID = "00000000000003e7";

  private static final long TIMEOUT_SECONDS = 20;

  private final BatchRouter router;
  private final CountDownLatch paused = new CountDownLatch(1);
  private final CountDownLatch resumed = new CountDownLatch(1);
  private volatile boolean armed;

  /** Creates a router that delegates to the given one. */
  public PausingRouter(BatchRouter router) {
    this.router = router;
  }

  @Override
  public void routeBatch(long nowNanos, RoutingEvents events, RoutingActions actions) {
    router.routeBatch(nowNanos, events, actions);
    if (armed) {
      armed = false;
      pauseUntilResumed();
    }
  }

  /** Blocks the calling thread, the event loop, until {@link #resume} or for 20 s. */
  public void pauseUntilResumed() {
    paused.countDown();
    try {
      resumed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a request from the client and waits until the event loop has paused after routing it. */
  public void pauseAfterRequest(TestClient client) throws Exception {
    armed = true;
    client.sendRequest(0x3e7, "parts", 4000, 0);
    awaitPaused();
  }

  /** Waits until the event loop is paused. */
  public void awaitPaused() throws InterruptedException {
    assertTrue(paused.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Unblocks the event loop. */
  public void resume() {
    resumed.countDown();
  }

  /** Creates a handler that passes the method name and arguments of each event to the listener. */
  public static RoutingEventHandler recordingHandler(BiConsumer<String, Object[]> listener) {
    return (RoutingEventHandler)
        Proxy.newProxyInstance(
            PausingRouter.class.getClassLoader(),
            new Class<?>[] {RoutingEventHandler.class},
            (proxy, event, arguments) -> {
              listener.accept(event.getName(), arguments);
              return null;
            });
  }
}
