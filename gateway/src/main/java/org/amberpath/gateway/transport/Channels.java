package org.amberpath.gateway.transport;

import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Channel operations whose futures are not awaited, because the close event of the channel reports
 * the outcome. Failures are logged at level FINE. Called on the event loop of the channel.
 */
public final class Channels {
  private static final Logger LOG = Logger.getLogger(Channels.class.getName());

  private Channels() {}

  /** Closes a channel immediately and drops data that is not yet written. */
  public static void close(ChannelOutboundInvoker channel) {
    logFailure("close", channel.close());
  }

  /** Shuts down the output, so that the peer reads the end of the stream. */
  public static void shutdownOutput(DuplexChannel channel) {
    logFailure("shutdown", channel.shutdownOutput());
  }

  /** Runs a task on the event loop after a delay. */
  public static void schedule(EventExecutor eventLoop, Runnable task, long delayMillis) {
    logFailure("timer", eventLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS));
  }

  /** Logs the failure of an operation, if it fails. */
  private static void logFailure(String operation, Future<?> result) {
    result.addListener(
        done -> {
          if (!done.isSuccess()) {
            LOG.log(Level.FINE, "channel: " + operation + " failed", done.cause());
          }
        });
  }
}
