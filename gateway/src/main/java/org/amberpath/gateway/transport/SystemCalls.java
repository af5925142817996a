package org.amberpath.gateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * The system calls that the transport makes for new connections; tests replace them by failing
 * ones.
 */
public class SystemCalls {
  /** Accepts a waiting connection without blocking; null where none waits. */
  public SocketChannel accept(ServerSocketChannel listening) throws IOException {
    return listening.accept();
  }

  /** Opens a socket for an outbound connection. */
  public Channel socket() {
    return new NioSocketChannel();
  }
}
