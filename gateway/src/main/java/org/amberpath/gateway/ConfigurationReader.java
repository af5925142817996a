package org.amberpath.gateway;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Rereads the configuration of a running gateway, with retries: up to 5 attempts, 200 ms apart.
 * Guards against a read that fails while the file is being replaced, or while the process is
 * briefly out of file descriptors.
 */
final class ConfigurationReader {
  private static final int MAX_ATTEMPTS = 5;
  private static final long RETRY_DELAY_MILLIS = 200;

  private final Context context;
  private final BooleanSupplier stopped;

  /**
   * Creates a reader.
   *
   * @param stopped whether the gateway has stopped; no further attempt is made from then on
   */
  ConfigurationReader(Context context, BooleanSupplier stopped) {
    this.context = context;
    this.stopped = stopped;
  }

  /**
   * Runs the reader on a worker thread until it succeeds or the attempts are used up. The future
   * completes on the event loop; it fails with the exception of the last attempt.
   */
  Future<GatewayOptions> read(Supplier<GatewayOptions> reader) {
    return read(reader, MAX_ATTEMPTS);
  }

  private Future<GatewayOptions> read(Supplier<GatewayOptions> reader, int attemptsLeft) {
    return context
        .executeBlocking(reader::get)
        .recover(
            e ->
                attemptsLeft <= 1 || stopped.getAsBoolean()
                    ? Future.failedFuture(e)
                    : context
                        .owner()
                        .timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                        .compose(timer -> read(reader, attemptsLeft - 1)));
  }
}
