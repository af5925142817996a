package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Lets the thread of an experiment run code on a Vert.x event loop and block until the result is
 * available, for at most {@value #TIMEOUT_SECONDS} s; later the call fails with a {@link
 * java.util.concurrent.TimeoutException}.
 */
public final class EventLoopWaiter {
  private static final long TIMEOUT_SECONDS = 30;

  private EventLoopWaiter() {}

  /** Runs a callable on the event loop and blocks until its result is available. */
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

  /** Runs a task on the event loop and blocks until it has completed. */
  public static void runOnLoop(Vertx vertx, Runnable task) throws Exception {
    callOnLoop(
        vertx,
        () -> {
          task.run();
          return null;
        });
  }

  /** Blocks until a future that an event loop completes has its result. */
  public static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
