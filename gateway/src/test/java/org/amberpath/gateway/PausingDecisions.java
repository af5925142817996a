package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingEventHandler;
import org.amberpath.routing.RoutingEvents;

/** Decisions in which the event loop stands still once, as long as a test wants. */
final class PausingDecisions implements RoutingStage.BatchRouter {
  /** The request at which it stands. */
  static final String REF = "00000000000003e7";

  private static final long PATIENCE_S = 20;

  private final RoutingStage.BatchRouter decisions;
  private final CountDownLatch stands = new CountDownLatch(1);
  private final CountDownLatch resumed = new CountDownLatch(1);
  private volatile boolean armed;

  PausingDecisions(RoutingStage.BatchRouter decisions) {
    this.decisions = decisions;
  }

  @Override
  public void routeBatch(long now, RoutingEvents in, RoutingActions to) {
    decisions.routeBatch(now, in, to);
    if (armed) {
      armed = false;
      stand();
    }
  }

  /** Stands until {@link #resume}; called on the event loop. */
  void stand() {
    stands.countDown();
    try {
      resumed.await(PATIENCE_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Makes the event loop stand still after a request of this client's. */
  void pause(Client client) throws Exception {
    armed = true;
    client.get(0x3e7, "parts", 4000, 0);
    awaitStanding();
  }

  void awaitStanding() throws InterruptedException {
    assertTrue(stands.await(PATIENCE_S, TimeUnit.SECONDS));
  }

  void resume() {
    resumed.countDown();
  }

  /** Hears each event by its name, with its arguments. */
  static RoutingEventHandler events(BiConsumer<String, Object[]> hear) {
    return (RoutingEventHandler)
        Proxy.newProxyInstance(
            PausingDecisions.class.getClassLoader(),
            new Class<?>[] {RoutingEventHandler.class},
            (proxy, event, told) -> {
              hear.accept(event.getName(), told);
              return null;
            });
  }
}
