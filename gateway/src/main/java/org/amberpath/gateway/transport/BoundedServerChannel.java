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
 * A listening socket that accepts no connection past an {@link AcceptLimit} and resumes as soon as
 * a descriptor is free. It retries a failed accept within milliseconds, where the library would
 * accept nothing for a whole second.
 */
@SuppressWarnings("deprecation") // Netty has no other type for what it hands over here.
final class BoundedServerChannel extends NioServerSocketChannel {
  private static final Logger LOG = Logger.getLogger(BoundedServerChannel.class.getName());
  private final SystemCalls calls;
  private final AcceptLimit limit;

  /** Whether the last accept failed: the failure is logged once. */
  private boolean failing;

  /** Whether the limit was reached, and no descriptor has become free since. */
  private boolean full;

  /** Whether {@link #afterSelect} is scheduled. */
  private boolean awaitingSelect;

  /** Whether a retry of a failed accept is scheduled. */
  private boolean retryScheduled;

  BoundedServerChannel(SystemCalls calls, AcceptLimit limit) {
    this.calls = calls;
    this.limit = limit;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    if (!limit.hasCapacity()) {
      full = true;
      pause();
      closeOldestHalfClosed();
      resumeAfterSelect();
      return 0;
    }
    SocketChannel socket;
    try {
      socket = calls.accept(javaChannel());
    } catch (IOException e) {
      if (!isOpen()) {
        throw e;
      }
      retry(e);
      return 0;
    }
    if (socket == null) {
      limit.queueEmptied();
      failing = false;
      return 0;
    }
    failing = false;
    return register(socket, accepted);
  }

  /**
   * After a pause the accept queue is read to its end, so that later connections are not taken for
   * ones that waited through it.
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
    } catch (RuntimeException e) { // The client has reset it, so its options can't be set.
      socket.close();
      return 0;
    }
  }

  private void pause() {
    limit.pause();
    config().setAutoRead(false);
  }

  private void retry(IOException failure) {
    if (!failing) {
      failing = true;
      LOG.warning("accept: " + failure.getMessage() + "; retried within milliseconds");
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

  /** Resumes, and reads the queue at once: so it is known whether anything waited there. */
  private void resume() {
    if (isOpen() && !retryScheduled) {
      config().setAutoRead(true);
      unsafe().read();
    }
  }

  /**
   * Guards new connections against half-closed ones, which only wait for their clients to close.
   */
  private void closeOldestHalfClosed() {
    if (full && !limit.hasCapacity()) {
      Channel halfClosed = limit.oldestHalfClosed();
      if (halfClosed != null) {
        Channels.close(halfClosed);
      }
    }
  }

  /**
   * Resumes once the selector has released a descriptor, which it does when it selects: by the
   * loop's next turn.
   */
  private void resumeAfterSelect() {
    if (full && !awaitingSelect && isOpen() && limit.isReleasing()) {
      awaitingSelect = true;
      Channels.schedule(eventLoop(), this::afterSelect, 0);
    }
  }

  private void afterSelect() {
    awaitingSelect = false;
    if (limit.hasCapacity()) {
      full = false;
      resume();
    } else {
      resumeAfterSelect();
    }
  }

  /** A client's connection, which counts against the limit until its descriptor is released. */
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
