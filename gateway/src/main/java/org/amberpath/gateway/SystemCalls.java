package org.amberpath.gateway;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * The system calls that the transport makes for new connections; tests replace them by failing
 * ones.
 */
class SystemCalls {
  /** Accepts a waiting connection without blocking; null where none waits. */
  SocketChannel accept(ServerSocketChannel listening) throws IOException {
    return listening.accept();
  }

  /** Opens a socket for an outbound connection. */
  Channel socket() {
    return new NioSocketChannel();
  }
}
