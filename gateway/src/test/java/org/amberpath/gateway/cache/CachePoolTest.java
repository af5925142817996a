package org.amberpath.gateway.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.SocketAddress;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;
import org.junit.jupiter.api.Test;

/** When {@link CachePool} sends the commands that wait, and on which connection. */
class CachePoolTest {
  private static final byte[] REQUEST_ID =
      "9b1f03aa5c7e2d41".getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);

  private boolean mayWrite;
  private boolean disconnected;
  private int maxConnections = 1;
  private final List<AttemptOutcome> outcomes = new ArrayList<>();

  @Test
  void waitingCommandWhoseClientDisconnectedIsNeverSent() throws Exception {
    Vertx vertx = Vertx.vertx();
    NetClient client = vertx.createNetClient();
    try {
      CachePool pool =
          new CachePool(
              "c",
              SocketAddress.inetSocketAddress(1, "127.0.0.1"),
              client,
              new PoolBounds(() -> 4, 1, 1, 1, 1, new ReceiveBufferAccounting(Long.MAX_VALUE)),
              new ConnectionBudget(4, () -> {}),
              new CachePool.Hooks(() -> 0, () -> mayWrite, (from, reason) -> {}));
      pool.send(
          new CacheCommand(REQUEST_ID, REQUEST_ID, REQUEST_ID, REQUEST_ID, 1000, List.of()) {
            @Override
            protected void onEnded(AttemptOutcome outcome, ResponseDetail note, Buffer body) {
              outcomes.add(outcome);
            }

            @Override
            protected boolean isExpired(long now) {
              return disconnected;
            }
          });
      assertEquals(List.of(), outcomes);
      disconnected = true;
      mayWrite = true;
      pool.retryWaiting();
      assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    } finally {
      vertx.close();
    }
  }

  @Test
  void noCommandIsSentAfterBytesThatThePeerDoesNotRead() throws Exception {
    Vertx vertx = Vertx.vertx();
    try (ServerSocket cache = new ServerSocket()) {
      cache.setReceiveBufferSize(4096);
      cache.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      Context eventLoop = vertx.getOrCreateContext();
      NetClient client = vertx.createNetClient();
      CachePool[] pool = new CachePool[1];
      eventLoop.runOnContext(
          v -> {
            pool[0] =
                new CachePool(
                    "c",
                    SocketAddress.inetSocketAddress(cache.getLocalPort(), "127.0.0.1"),
                    client,
                    new PoolBounds(
                        () -> maxConnections,
                        100,
                        1,
                        Long.MAX_VALUE,
                        1,
                        new ReceiveBufferAccounting(Long.MAX_VALUE)),
                    new ConnectionBudget(2, () -> {}),
                    new CachePool.Hooks(() -> 0, () -> true, (from, reason) -> {}));
            pool[0].send(newCommand(new byte[64 << 20]));
          });
      Socket first = cache.accept();
      Thread.sleep(200); // The command is written until the receive buffer of the peer is full.
      eventLoop.runOnContext(
          v -> {
            maxConnections = 2;
            pool[0].send(newCommand(REQUEST_ID));
          });
      cache.setSoTimeout(5000);
      try (Socket second = cache.accept()) {
        second.setSoTimeout(5000);
        assertEquals('*', second.getInputStream().read());
      }
      first.close();
    } finally {
      vertx.close();
    }
  }

  private static CacheCommand newCommand(byte[] body) {
    return new CacheCommand(REQUEST_ID, REQUEST_ID, REQUEST_ID, body, 1000, List.of()) {
      @Override
      protected void onEnded(AttemptOutcome outcome, ResponseDetail note, Buffer body) {}
    };
  }
}
