package org.amberpath.gateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * The system calls that the transport makes for new connections; tests override them with failing
 * ones.
 */
public class SystemCalls {
  /** Accepts a pending connection without blocking; returns null if there is none. */
  public SocketChannel accept(ServerSocketChannel serverChannel) throws IOException {
    return serverChannel.accept();
  }

  /** Opens a socket for an outbound connection. */
  public Channel openSocket() {
    return new NioSocketChannel();
  }
}
