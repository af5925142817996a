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

/** A cache that keeps the commands that it receives, for the test to reply to. */
public final class StubCache implements Closeable {
  public final ServerSocket server = new ServerSocket(0, 50, GatewayTestbed.LOOPBACK);
  public final BlockingQueue<ReceivedCommand> commands = new LinkedBlockingQueue<>();

  /** Counted down once nothing is accepted any more. */
  private final CountDownLatch stopped = new CountDownLatch(1);

  StubCache(ExecutorService threads) throws IOException {
    threads.execute(
        () -> {
          try {
            while (true) {
              Socket socket = server.accept();
              threads.execute(() -> read(socket));
            }
          } catch (IOException e) {
            // Closed.
          } finally {
            stopped.countDown();
          }
        });
  }

  /** The address that it listens at. */
  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void read(Socket socket) {
    try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
      while (true) {
        List<byte[]> elements = new ArrayList<>();
        for (int left = length(in); left > 0; left--) {
          elements.add(in.readNBytes(length(in)));
          in.readNBytes(2);
        }
        commands.add(new ReceivedCommand(socket, elements));
      }
    } catch (IOException | NumberFormatException e) {
      // The connection is gone.
    }
  }

  private int length(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int one = in.readUnsignedByte(); one != '\n'; one = in.readUnsignedByte()) {
      line.append((char) one);
    }
    return Integer.parseInt(line.substring(1).trim());
  }

  /** The next command; fails the test when none comes. */
  public ReceivedCommand nextCommand() throws InterruptedException {
    ReceivedCommand next = commands.poll(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(next, "nothing came to the cache");
    return next;
  }

  /**
   * Connections are refused once this returns: while its thread is still in accept, the system
   * keeps the socket listening though it is closed.
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
