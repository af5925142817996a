package org.amberpath.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * A listening socket that accepts no connection past a bound and goes on as soon as one is gone.
 * After an accept that failed it tries again within milliseconds; the library's own answer is to
 * accept nothing for a whole second.
 */
@SuppressWarnings("deprecation") // Netty has no other type for what it hands over here.
final class BoundedServerChannel extends NioServerSocketChannel {
  private static final Logger LOG = Logger.getLogger(BoundedServerChannel.class.getName());
  private final SystemCalls calls;
  private final AcceptLimit limit;
  private boolean failing;
  private boolean full;
  private boolean releasing;
  private boolean retrying;

  BoundedServerChannel(SystemCalls calls, AcceptLimit limit) {
    this.calls = calls;
    this.limit = limit;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) throws Exception {
    if (!limit.hasRoom()) {
      full = true;
      pause();
      makeRoom();
      release();
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
      limit.emptied();
      failing = false;
      return 0;
    }
    failing = false;
    return take(socket, accepted);
  }

  /**
   * After a pause the queue is read to its end, so that later connections are not taken for ones
   * that waited.
   */
  @Override
  protected boolean continueReading(RecvByteBufAllocator.Handle handle) {
    return limit.isPaused() || super.continueReading(handle);
  }

  private int take(SocketChannel socket, List<Object> accepted) throws IOException {
    try {
      Accepted child = new Accepted(socket);
      limit.accepted(child, socket);
      accepted.add(child);
      return 1;
    } catch (RuntimeException e) { // It was reset meanwhile, so its options can't be set.
      socket.close();
      return 0;
    }
  }

  private void pause() {
    limit.paused();
    config().setAutoRead(false);
  }

  private void retry(IOException failure) {
    if (!failing) {
      failing = true;
      LOG.warning("accept: " + failure.getMessage() + "; tried again within milliseconds");
    }
    long pauseMillis = limit.failed();
    pause();
    if (!retrying) {
      retrying = true;
      eventLoop()
          .schedule(
              () -> {
                retrying = false;
                resume();
              },
              pauseMillis,
              TimeUnit.MILLISECONDS);
    }
  }

  /** Goes on, and looks at the queue at once: so it is known whether anything waited there. */
  private void resume() {
    if (isOpen() && !retrying) {
      config().setAutoRead(true);
      unsafe().read();
    }
  }

  /**
   * Guards newcomers against connections that have been ended and only wait for their clients to
   * close.
   */
  private void makeRoom() {
    if (full && !limit.hasRoom()) {
      Channel ended = limit.oldestEnded();
      if (ended != null) {
        ended.close();
      }
    }
  }

  /**
   * Goes on once the selector has let go of a descriptor, which it does when it selects: by the
   * loop's next turn.
   */
  private void release() {
    if (full && !releasing && isOpen() && limit.isReleasing()) {
      releasing = true;
      eventLoop().schedule(this::released, 0, TimeUnit.MILLISECONDS);
    }
  }

  private void released() {
    releasing = false;
    if (limit.hasRoom()) {
      full = false;
      resume();
    } else {
      release();
    }
  }

  /** A client's connection, which counts until its descriptor is gone. */
  private final class Accepted extends NioSocketChannel {
    private final SocketChannel socket;

    Accepted(SocketChannel socket) {
      super(BoundedServerChannel.this, socket);
      this.socket = socket;
    }

    @Override
    protected void doClose() throws Exception {
      try {
        super.doClose();
      } finally {
        limit.closed(socket);
        release();
      }
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
      ChannelFuture told = super.shutdownOutput(promise);
      makeRoom();
      return told;
    }
  }
}
