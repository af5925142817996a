package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Waits, from a thread of an experiment's own, for what its event loop does. */
public final class EventLoopWaiter {
  private static final long PATIENCE_S = 30;

  private EventLoopWaiter() {}

  /** Runs on the event loop, and waits for what comes of it. */
  public static <T> T on(Vertx vertx, Callable<T> what) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    vertx
        .getOrCreateContext()
        .runOnContext(
            loop -> {
              try {
                done.complete(what.call());
              } catch (Exception e) {
                done.completeExceptionally(e);
              }
            });
    return done.get(PATIENCE_S, TimeUnit.SECONDS);
  }

  public static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
  }
}
