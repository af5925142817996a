package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Waits, from a thread of an experiment's own, for what its event loop does. */
public final class EventLoopWaiter {
  private static final long TIMEOUT_SECONDS = 30;

  private EventLoopWaiter() {}

  /** Runs on the event loop, and waits for what comes of it. */
  public static <T> T callOnLoop(Vertx vertx, Callable<T> callable) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    vertx
        .getOrCreateContext()
        .runOnContext(
            loop -> {
              try {
                result.complete(callable.call());
              } catch (Exception e) {
                result.completeExceptionally(e);
              }
            });
    return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  public static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
