package org.amberpath.gateway.testsupport;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A cache that queues the commands it receives; the test replies to them. */
public final class StubCache implements Closeable {
  public final ServerSocket server = new ServerSocket(0, 50, GatewayTestbed.LOOPBACK);
  public final BlockingQueue<ReceivedCommand> commands = new LinkedBlockingQueue<>();

  /** Counted down when the accepting thread has ended. */
  private final CountDownLatch stopped = new CountDownLatch(1);

  StubCache(ExecutorService threads) throws IOException {
    threads.execute(
        () -> {
          try {
            while (true) {
              Socket socket = server.accept();
              threads.execute(() -> readCommands(socket));
            }
          } catch (IOException e) {
            // The server socket was closed.
          } finally {
            stopped.countDown();
          }
        });
  }

  /** Returns the address that the cache listens at. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void readCommands(Socket socket) {
    try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
      while (true) {
        List<byte[]> elements = new ArrayList<>();
        for (int remaining = readLength(in); remaining > 0; remaining--) {
          elements.add(in.readNBytes(readLength(in)));
          in.readNBytes(2);
        }
        commands.add(new ReceivedCommand(socket, elements));
      }
    } catch (IOException | NumberFormatException e) {
      // The connection was closed.
    }
  }

  private int readLength(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int character = in.readUnsignedByte();
        character != '\n';
        character = in.readUnsignedByte()) {
      line.append((char) character);
    }
    return Integer.parseInt(line.substring(1).trim());
  }

  /** Returns the next command; fails the test if none is received within 10 s. */
  public ReceivedCommand nextCommand() throws InterruptedException {
    ReceivedCommand next = commands.poll(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(next, "the cache received no command in time");
    return next;
  }

  /**
   * Stops listening. Waits for the accepting thread to end, so that connections are refused once
   * this method returns: the system keeps a closed socket listening while a thread is in accept.
   */
  @Override
  public void close() throws IOException {
    server.close();
    try {
      assertTrue(stopped.await(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
