package org.amberpath.gateway.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The memory of replies that caches send in part is bounded over all connections. */
@Timeout(30)
class PartialReplyMemoryTest {
  private static final int MAX_BODY_BYTES = 240_000;
  private static final int PARTIAL_REPLIES = 3;
  private static final int PARTIAL_BYTES = 100_000;

  private final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();

  /** Guards against caches that stop in the middle of replies and so exhaust the heap. */
  @Test
  void connectionWithThePartialReplyWithoutProgressForLongestIsClosedAboveTheBound()
      throws Exception {
    Vertx vertx = Vertx.vertx();
    List<Socket> connections = new ArrayList<>();
    try (ServerSocket cache = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      NetClient client = vertx.createNetClient();
      vertx.getOrCreateContext().runOnContext(v -> sendCommands(newPool(client, cache)));

      for (int reply = 0; reply < PARTIAL_REPLIES; reply++) {
        connections.add(cache.accept());
        replyInPart(connections.get(reply));
      }

      assertEquals(AttemptOutcome.CONNECTION_LOST, outcomes.poll(5, TimeUnit.SECONDS));
      assertEquals(0, outcomes.size());
    } finally {
      vertx.close();
      for (Socket connection : connections) {
        connection.close();
      }
    }
  }

  private static CachePool newPool(NetClient client, ServerSocket cache) {
    ReceiveBufferAccounting partialReplies =
        new ReceiveBufferAccounting((PARTIAL_REPLIES - 1) * PARTIAL_BYTES + 1000);
    return new CachePool(
        "c",
        SocketAddress.inetSocketAddress(cache.getLocalPort(), "127.0.0.1"),
        client,
        new PoolBounds(() -> PARTIAL_REPLIES, 1, 1, Long.MAX_VALUE, MAX_BODY_BYTES, partialReplies),
        new ConnectionBudget(PARTIAL_REPLIES, () -> {}),
        new CachePool.Hooks(() -> 0, () -> true, (from, reason) -> {}));
  }

  private void sendCommands(CachePool pool) {
    for (int command = 0; command < PARTIAL_REPLIES; command++) {
      byte[] requestId = String.format("%016x", command).getBytes(StandardCharsets.ISO_8859_1);
      pool.send(
          new CacheCommand(requestId, new byte[0], new byte[0], new byte[0], 1000, List.of()) {
            @Override
            protected void onEnded(AttemptOutcome outcome, ResponseDetail note, Buffer body) {
              outcomes.add(outcome);
            }
          });
    }
  }

  /** Writes the beginning of a reply of {@link #PARTIAL_BYTES} bytes. */
  private static void replyInPart(Socket connection) throws IOException {
    String header =
        "*4\r\n$16\r\n0000000000000000\r\n$2\r\nok\r\n$0\r\n\r\n$" + MAX_BODY_BYTES + "\r\n";
    byte[] beginning = Arrays.copyOf(header.getBytes(StandardCharsets.ISO_8859_1), PARTIAL_BYTES);
    connection.getOutputStream().write(beginning);
  }
}
