package org.amberpath.gateway.testsupport;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** A TCP relay to a journal that can delay replies, reset connections or refuse them. */
public final class JournalRelay implements Closeable {
  private static final int CHUNK_BYTES = 65_536;

  private final ExecutorService executor;
  private final StubJournal journal;

  /** Bound but never connected: keeps the port reserved while nothing listens there. */
  private final Socket reservedSocket = new Socket();

  private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
  private ServerSocket server;
  private int acceptedCount;

  /** The delay in milliseconds before the first bytes of each reply are forwarded; 0 for none. */
  public volatile long delayMillis;

  /**
   * If this is n, the first accepted connection and every n-th after it are relayed, and the others
   * are reset at once; 0 to relay all.
   */
  public volatile int relaysOneOf;

  JournalRelay(StubJournal journal, ExecutorService executor) throws IOException {
    this.journal = journal;
    this.executor = executor;
    reservedSocket.setReuseAddress(true);
    reservedSocket.bind(new InetSocketAddress(GatewayTestbed.LOOPBACK, 0));
    listen();
  }

  /** Returns the address that the relay listens at. */
  public String address() {
    return "127.0.0.1:" + reservedSocket.getLocalPort();
  }

  /** Starts to listen, again after {@link #refuseConnections}. */
  public void listen() throws IOException {
    ServerSocket newServer = new ServerSocket();
    newServer.setReuseAddress(true);
    long deadlineNanos =
        System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestbed.TIMEOUT_SECONDS);
    while (!newServer.isBound()) {
      try {
        newServer.bind(
            new InetSocketAddress(GatewayTestbed.LOOPBACK, reservedSocket.getLocalPort()));
      } catch (BindException e) {
        // The accepting thread may not have released the previous server socket yet.
        if (System.nanoTime() > deadlineNanos) {
          throw e;
        }
        Thread.onSpinWait();
      }
    }
    server = newServer;
    executor.execute(
        () -> {
          try {
            while (true) {
              handleConnection(newServer.accept());
            }
          } catch (IOException e) {
            // The server socket was closed.
          }
        });
  }

  /** Refuses new connections and resets the open ones. */
  public void refuseConnections() throws IOException {
    server.close();
    resetConnections();
  }

  /** Resets the open connections. */
  public void resetConnections() throws IOException {
    for (Socket socket = openSockets.poll(); socket != null; socket = openSockets.poll()) {
      reset(socket);
    }
  }

  private void handleConnection(Socket client) throws IOException {
    if (relaysOneOf > 0 && acceptedCount++ % relaysOneOf != 0) {
      reset(client);
      return;
    }
    Socket upstream = new Socket(GatewayTestbed.LOOPBACK, journal.server.getAddress().getPort());
    openSockets.add(client);
    openSockets.add(upstream);
    AtomicBoolean awaitsReply = new AtomicBoolean();
    executor.execute(() -> pump(client, upstream, () -> awaitsReply.set(true)));
    executor.execute(
        () ->
            pump(
                upstream,
                client,
                () -> {
                  if (awaitsReply.getAndSet(false)) {
                    Thread.sleep(delayMillis);
                  }
                }));
  }

  private void pump(Socket source, Socket destination, BeforeChunk beforeChunk) {
    try (source;
        destination) {
      byte[] bytes = new byte[CHUNK_BYTES];
      for (int count = source.getInputStream().read(bytes);
          count >= 0;
          count = source.getInputStream().read(bytes)) {
        beforeChunk.call();
        destination.getOutputStream().write(bytes, 0, count);
      }
    } catch (Exception e) {
      // One of the two connections was closed.
    }
  }

  private static void reset(Socket socket) throws IOException {
    try {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // The socket is already closed.
    }
    socket.close();
  }

  @Override
  public void close() throws IOException {
    refuseConnections();
    reservedSocket.close();
  }

  /** A hook that runs before each chunk is forwarded. */
  private interface BeforeChunk {
    void call() throws Exception;
  }
}
