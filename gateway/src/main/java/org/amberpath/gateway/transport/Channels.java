package org.amberpath.gateway.transport;

import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Operations on channels whose end nobody waits for, since the close event of the channel tells of
 * it. A failure is logged at FINE. Used on the event loop of the channel.
 */
public final class Channels {
  private static final Logger LOG = Logger.getLogger(Channels.class.getName());

  private Channels() {}

  /** Closes a channel at once, whatever its peer has not read. */
  public static void close(ChannelOutboundInvoker channel) {
    logFailure("close", channel.close());
  }

  /** Shuts the output down, so that the peer reads the end of the stream. */
  public static void shutdownOutput(DuplexChannel channel) {
    logFailure("shutdown", channel.shutdownOutput());
  }

  /** Runs a task after a delay, on the event loop. */
  public static void schedule(EventExecutor eventLoop, Runnable task, long delayMillis) {
    logFailure("timer", eventLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS));
  }

  /** The end of an operation that needs no more than a line in the log where it fails. */
  private static void logFailure(String operation, Future<?> result) {
    result.addListener(
        done -> {
          if (!done.isSuccess()) {
            LOG.log(Level.FINE, "channel: " + operation + " failed", done.cause());
          }
        });
  }
}
