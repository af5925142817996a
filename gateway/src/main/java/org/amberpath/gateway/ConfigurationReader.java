package org.amberpath.gateway;

import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Reads a configuration again while a gateway runs. Guards against a file that is being replaced,
 * and against descriptors that are short for a moment: what can't be read is read again.
 */
final class ConfigurationReader {
  private static final int MAX_ATTEMPTS = 5;
  private static final long RETRY_DELAY_MILLIS = 200;

  private final Context context;
  private final BooleanSupplier stopped;

  /** A reader that makes no further attempt once the gateway has stopped. */
  ConfigurationReader(Context context, BooleanSupplier stopped) {
    this.context = context;
    this.stopped = stopped;
  }

  /**
   * Reads off the event loop; completes on it, with the failure of the last attempt where all fail.
   */
  Future<GatewayOptions> read(Supplier<GatewayOptions> reader) {
    return read(reader, MAX_ATTEMPTS);
  }

  private Future<GatewayOptions> read(Supplier<GatewayOptions> reader, int attempts) {
    return context
        .executeBlocking(reader::get)
        .recover(
            e ->
                attempts <= 1 || stopped.getAsBoolean()
                    ? Future.failedFuture(e)
                    : context
                        .owner()
                        .timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                        .compose(timer -> read(reader, attempts - 1)));
  }
}
