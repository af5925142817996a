package org.amberpath.gateway.transport;

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
 * A Vert.x transport that accepts connections on the event loop that also serves them. A separate
 * acceptor thread would keep accepting while the event loop is busy, and so exceed the bound on
 * descriptors that the event loop enforces.
 */
public final class SingleEventLoopTransport extends NioTransport {
  private final SystemCalls systemCalls;
  private EventLoopGroup eventLoop;
  private AcceptLimit nextLimit;

  private SingleEventLoopTransport(SystemCalls systemCalls) {
    this.systemCalls = systemCalls;
  }

  /** Creates a transport for one Vert.x instance. */
  public static Transport transport() {
    return transport(new SystemCalls());
  }

  /** Creates a transport that makes the given system calls, so that tests can let them fail. */
  public static Transport transport(SystemCalls systemCalls) {
    SingleEventLoopTransport implementation = new SingleEventLoopTransport(systemCalls);
    return new Transport() {
      @Override
      public String name() {
        return "single event loop";
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
        return implementation;
      }
    };
  }

  @Override
  public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
    if (eventLoop == null) {
      eventLoop = super.eventLoopGroup(type, 1, factory, ioRatio);
    }
    return eventLoop;
  }

  /**
   * Sets the limit of the server that listens next; does nothing if the Vert.x instance uses
   * another transport.
   */
  public static void limitNextServer(Vertx vertx, AcceptLimit limit) {
    if (((VertxInternal) vertx).transport() instanceof SingleEventLoopTransport transport) {
      transport.nextLimit = limit;
    }
  }

  @Override
  public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
    if (domainSocket) {
      return super.serverChannelFactory(true);
    }
    AcceptLimit limit =
        nextLimit == null ? new AcceptLimit(Integer.MAX_VALUE, System::nanoTime) : nextLimit;
    nextLimit = null;
    return () -> new BoundedServerChannel(systemCalls, limit);
  }

  @Override
  public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
    return domainSocket ? super.channelFactory(true) : systemCalls::openSocket;
  }
}
