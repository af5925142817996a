package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Waits, on a thread of an experiment, for what its event loop does: 30 s at most. */
public final class EventLoopWaiter {
  private static final long TIMEOUT_SECONDS = 30;

  private EventLoopWaiter() {}

  /** Runs on the event loop, and waits for the result. */
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

  /** Runs on the event loop, and waits until that is done. */
  public static void runOnLoop(Vertx vertx, Runnable task) throws Exception {
    callOnLoop(
        vertx,
        () -> {
          task.run();
          return null;
        });
  }

  /** Waits for a future that completes on an event loop. */
  public static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
