package amberpath.gateway;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/**
 * Sockets whose connections are accepted on the event loop that also serves them. Guards the descriptors: an acceptor
 * with a thread of its own runs ahead of a loop that is busy, past any bound that is kept there.
 */
final class OneLoop extends NioTransport {
  private EventLoopGroup loop;

  static Transport transport() {
    OneLoop made = new OneLoop();
    return new Transport() {
      @Override public String name() {
        return "one loop";
      }

      @Override public boolean available() {
        return true;
      }

      @Override public Throwable unavailabilityCause() {
        return null;
      }

      @Override public io.vertx.core.spi.transport.Transport implementation() {
        return made;
      }
    };
  }

  @Override public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
    loop = loop == null ? super.eventLoopGroup(type, 1, factory, ioRatio) : loop;
    return loop;
  }
}
