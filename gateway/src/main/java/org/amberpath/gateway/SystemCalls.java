package org.amberpath.gateway;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * The system calls that the transport makes for new connections; tests put calls that fail in their
 * place.
 */
class SystemCalls {
  /** Takes a waiting connection; null where none waits. */
  SocketChannel accept(ServerSocketChannel from) throws IOException {
    return from.accept();
  }

  /** Opens a socket for a connection to an endpoint. */
  Channel socket() {
    return new NioSocketChannel();
  }
}
