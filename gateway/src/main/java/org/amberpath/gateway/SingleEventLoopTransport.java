package org.amberpath.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.vertx.core.Vertx;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.internal.VertxInternal;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * Sockets whose connections are accepted on the event loop that also serves them. Guards the
 * descriptors: an acceptor with a thread of its own runs ahead of a loop that is busy, past any
 * bound that is kept there.
 */
final class SingleEventLoopTransport extends NioTransport {
  private final SystemCalls calls;
  private EventLoopGroup loop;
  private AcceptLimit next;

  private SingleEventLoopTransport(SystemCalls calls) {
    this.calls = calls;
  }

  static Transport transport() {
    return transport(new SystemCalls());
  }

  /** The same with other system calls, for tests of those that fail. */
  static Transport transport(SystemCalls calls) {
    SingleEventLoopTransport made = new SingleEventLoopTransport(calls);
    return new Transport() {
      @Override
      public String name() {
        return "one loop";
      }

      @Override
      public boolean available() {
        return true;
      }

      @Override
      public Throwable unavailabilityCause() {
        return null;
      }

      @Override
      public io.vertx.core.spi.transport.Transport implementation() {
        return made;
      }
    };
  }

  @Override
  public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
    loop = loop == null ? super.eventLoopGroup(type, 1, factory, ioRatio) : loop;
    return loop;
  }

  /** The server that listens next accepts within that limit; other transports know of none. */
  static void limitNext(Vertx vertx, AcceptLimit limit) {
    if (((VertxInternal) vertx).transport() instanceof SingleEventLoopTransport own) {
      own.next = limit;
    }
  }

  @Override
  public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
    if (domainSocket) {
      return super.serverChannelFactory(true);
    }
    AcceptLimit limit = next == null ? new AcceptLimit(Integer.MAX_VALUE, System::nanoTime) : next;
    next = null;
    return () -> new BoundedServerChannel(calls, limit);
  }

  @Override
  public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
    return domainSocket ? super.channelFactory(true) : calls::socket;
  }
}
