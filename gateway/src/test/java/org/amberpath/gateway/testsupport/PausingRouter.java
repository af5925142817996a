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

/** A router that pauses the event loop once, as long as a test wants. */
public final class PausingRouter implements BatchRouter {
  /** The id of the request after which it pauses. */
  public static final String PAUSING_REQUEST_ID = "00000000000003e7";

  private static final long TIMEOUT_SECONDS = 20;

  private final BatchRouter router;
  private final CountDownLatch paused = new CountDownLatch(1);
  private final CountDownLatch resumed = new CountDownLatch(1);
  private volatile boolean armed;

  /** A router that decides as another one. */
  public PausingRouter(BatchRouter router) {
    this.router = router;
  }

  @Override
  public void routeBatch(long now, RoutingEvents in, RoutingActions to) {
    router.routeBatch(now, in, to);
    if (armed) {
      armed = false;
      pauseUntilResumed();
    }
  }

  /** Pauses until {@link #resume}; called on the event loop. */
  public void pauseUntilResumed() {
    paused.countDown();
    try {
      resumed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Pauses the event loop after a request of this client's. */
  public void pauseAfterRequest(TestClient client) throws Exception {
    armed = true;
    client.sendRequest(0x3e7, "parts", 4000, 0);
    awaitPaused();
  }

  /** Waits until the event loop is paused. */
  public void awaitPaused() throws InterruptedException {
    assertTrue(paused.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Lets the event loop go on. */
  public void resume() {
    resumed.countDown();
  }

  /** A handler that passes on the name of each event, with its arguments. */
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
