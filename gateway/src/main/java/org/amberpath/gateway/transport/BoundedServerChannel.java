package org.amberpath.gateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.logging.Logger;

/**
 * A listening channel that stops accepting at an {@link AcceptLimit} and resumes as soon as a
 * descriptor is released. It retries a failed accept after a backoff of milliseconds, whereas Netty
 * accepts nothing for one second after a failure.
 */
@SuppressWarnings("deprecation") // Netty passes this deprecated type to continueReading.
final class BoundedServerChannel extends NioServerSocketChannel {
  private static final Logger LOG = Logger.getLogger(BoundedServerChannel.class.getName());
  private final SystemCalls systemCalls;
  private final AcceptLimit limit;

  /** Whether the last accept failed, so that repeated failures are logged only once. */
  private boolean acceptFailing;

  /** Whether the limit was reached and no descriptor has been released since. */
  private boolean limitReached;

  /** Whether {@link #afterSelect} is scheduled. */
  private boolean awaitingSelect;

  /** Whether a retry of a failed accept is scheduled. */
  private boolean retryScheduled;

  BoundedServerChannel(SystemCalls systemCalls, AcceptLimit limit) {
    this.systemCalls = systemCalls;
    this.limit = limit;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    if (!limit.hasCapacity()) {
      limitReached = true;
      pause();
      closeOldestHalfClosed();
      resumeAfterSelect();
      return 0;
    }
    SocketChannel socket;
    try {
      socket = systemCalls.accept(javaChannel());
    } catch (IOException e) {
      if (!isOpen()) {
        throw e;
      }
      scheduleRetry(e);
      return 0;
    }
    if (socket == null) {
      limit.queueEmptied();
      acceptFailing = false;
      return 0;
    }
    acceptFailing = false;
    return register(socket, accepted);
  }

  /**
   * Keeps reading after a pause until the accept queue is empty, so that connections which arrive
   * later do not count as having waited during the pause.
   */
  @Override
  protected boolean continueReading(RecvByteBufAllocator.Handle handle) {
    return limit.isPaused() || super.continueReading(handle);
  }

  private int register(SocketChannel socket, List<Object> accepted) throws IOException {
    try {
      ClientChannel channel = new ClientChannel(socket);
      limit.accepted(channel, socket);
      accepted.add(channel);
      return 1;
    } catch (
        RuntimeException e) { // Setting options fails on a connection that the client has reset.
      socket.close();
      return 0;
    }
  }

  private void pause() {
    limit.pause();
    config().setAutoRead(false);
  }

  private void scheduleRetry(IOException failure) {
    if (!acceptFailing) {
      acceptFailing = true;
      LOG.warning("accept failed: " + failure.getMessage() + "; retrying with backoff");
    }
    long backoffMillis = limit.acceptFailed();
    pause();
    if (!retryScheduled) {
      retryScheduled = true;
      Channels.schedule(
          eventLoop(),
          () -> {
            retryScheduled = false;
            resume();
          },
          backoffMillis);
    }
  }

  /** Resumes accepting and reads the queue immediately, which shows whether connections waited. */
  private void resume() {
    if (isOpen() && !retryScheduled) {
      config().setAutoRead(true);
      unsafe().read();
    }
  }

  /**
   * Closes the oldest half-closed connection while the limit is reached, so that connections which
   * merely wait for their clients to close do not block new ones.
   */
  private void closeOldestHalfClosed() {
    if (limitReached && !limit.hasCapacity()) {
      Channel halfClosed = limit.oldestHalfClosed();
      if (halfClosed != null) {
        Channels.close(halfClosed);
      }
    }
  }

  /**
   * Schedules resuming for the next iteration of the event loop, by which the selector has released
   * the descriptors of closed connections.
   */
  private void resumeAfterSelect() {
    if (limitReached && !awaitingSelect && isOpen() && limit.isReleasing()) {
      awaitingSelect = true;
      Channels.schedule(eventLoop(), this::afterSelect, 0);
    }
  }

  private void afterSelect() {
    awaitingSelect = false;
    if (limit.hasCapacity()) {
      limitReached = false;
      resume();
    } else {
      resumeAfterSelect();
    }
  }

  /** An accepted connection, which counts against the limit until its descriptor is released. */
  private final class ClientChannel extends NioSocketChannel {
    private final SocketChannel socket;

    ClientChannel(SocketChannel socket) {
      super(BoundedServerChannel.this, socket);
      this.socket = socket;
    }

    @Override
    protected void doClose() throws Exception {
      try {
        super.doClose();
      } finally {
        limit.closed(socket);
        resumeAfterSelect();
      }
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
      ChannelFuture halfClosed = super.shutdownOutput(promise);
      closeOldestHalfClosed();
      return halfClosed;
    }
  }
}
