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

  private final ExecutorService threads;
  private final StubJournal to;

  /** Bound but never connected: keeps the port reserved while nothing listens there. */
  private final Socket reserved = new Socket();

  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private ServerSocket server;
  private int accepted;

  /** The delay in milliseconds before the first bytes of each reply are forwarded; 0 for none. */
  public volatile long delayMillis;

  /**
   * One of this number of accepted connections is relayed, and the others are reset at once; 0 to
   * relay all.
   */
  public volatile int resetsAllButOneOf;

  JournalRelay(StubJournal to, ExecutorService threads) throws IOException {
    this.to = to;
    this.threads = threads;
    reserved.setReuseAddress(true);
    reserved.bind(new InetSocketAddress(GatewayTestbed.LOOPBACK, 0));
    listen();
  }

  /** Returns the address that the relay listens at. */
  public String address() {
    return "127.0.0.1:" + reserved.getLocalPort();
  }

  /** Starts to listen, again after {@link #refuseConnections}. */
  public void listen() throws IOException {
    ServerSocket listening = new ServerSocket();
    listening.setReuseAddress(true);
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestbed.TIMEOUT_SECONDS);
    while (!listening.isBound()) {
      try {
        listening.bind(new InetSocketAddress(GatewayTestbed.LOOPBACK, reserved.getLocalPort()));
      } catch (BindException e) {
        // The accepting thread may not have released the previous server socket yet.
        if (System.nanoTime() > until) {
          throw e;
        }
        Thread.onSpinWait();
      }
    }
    server = listening;
    threads.execute(
        () -> {
          try {
            while (true) {
              accepted(listening.accept());
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
    for (Socket one = sockets.poll(); one != null; one = sockets.poll()) {
      reset(one);
    }
  }

  private void accepted(Socket from) throws IOException {
    if (resetsAllButOneOf > 0 && accepted++ % resetsAllButOneOf != 0) {
      reset(from);
      return;
    }
    Socket on = new Socket(GatewayTestbed.LOOPBACK, to.server.getAddress().getPort());
    sockets.add(from);
    sockets.add(on);
    AtomicBoolean asked = new AtomicBoolean();
    threads.execute(() -> pump(from, on, () -> asked.set(true)));
    threads.execute(
        () ->
            pump(
                on,
                from,
                () -> {
                  if (asked.getAndSet(false)) {
                    Thread.sleep(delayMillis);
                  }
                }));
  }

  private void pump(Socket from, Socket on, BeforeChunk before) {
    try (from;
        on) {
      byte[] bytes = new byte[CHUNK_BYTES];
      for (int read = from.getInputStream().read(bytes);
          read >= 0;
          read = from.getInputStream().read(bytes)) {
        before.call();
        on.getOutputStream().write(bytes, 0, read);
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
    reserved.close();
  }

  /** A hook that runs before each chunk is forwarded. */
  private interface BeforeChunk {
    void call() throws Exception;
  }
}
