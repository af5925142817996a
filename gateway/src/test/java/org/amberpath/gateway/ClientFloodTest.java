package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send small requests at full speed do not take the memory of the gateway. */
@Timeout(60)
class ClientFloodTest extends GatewayFixture {
  private static final String STATUS = "status";
  private static final int RECEIVE_BUFFER_BYTES = 65_536;

  /** Their responses exceed both the kernel's buffers and the memory for unread responses. */
  private static final int UNREAD_REQUESTS = 1_500_000;

  private static final int CANCELLED_REQUESTS = 40_000;
  private static final int STATUS_ID = 1_000_000;

  /** Twice the requests of one client that may wait to be routed, and some more. */
  private static final int MAX_HELD = 300;

  /** Guards against small responses, unread by their client, that exhaust the heap. */
  @ParameterizedTest
  @ValueSource(strings = {STATUS, "unknown-class"})
  void clientThatSendsMuchAndReadsLateGetsEachResponse(String method) throws Exception {
    int requests = method.equals(STATUS) ? UNREAD_REQUESTS : UNREAD_REQUESTS / 5;
    byte[] flood = requests(method, requests);
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(GatewayTestbed.LOOPBACK, testbed.gateway.port()));

    try (TestClient flooding = new TestClient(socket)) {
      Future<TestClient> sending = testbed.executor.submit(() -> flooding.send(flood));
      Thread.sleep(STALL_MILLIS); // The client reads nothing while the gateway pushes back.
      assertTrue(client.requestStatus().isReady());

      for (int received = 0; received < requests; received++) {
        assertEquals(1, flooding.receive().messageId());
      }
      sending.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Guards against requests that are cancelled at once, wait to be routed and pile up. */
  @Test
  void requestsThatAreCancelledAtOnceDoNotPileUp() throws Exception {
    testbed.handleCommands(cache, command -> command.replyOk("part"));
    AtomicInteger maxHeld = new AtomicInteger();
    AtomicBoolean flooded = new AtomicBoolean();
    testbed.runInBackground(
        () -> {
          while (!flooded.get()) {
            maxHeld.accumulateAndGet(testbed.gateway.resourceCount(), Math::max);
          }
        });
    ByteArrayOutputStream flood = new ByteArrayOutputStream();
    for (int number = 1; number <= CANCELLED_REQUESTS; number++) {
      flood.writeBytes(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 4000, number), null));
      flood.writeBytes(TestClient.encodeCancel(number));
    }

    try (TestClient flooding = testbed.client()) {
      Future<?> reading = testbed.executor.submit(() -> receiveUntilStatus(flooding));
      flooding.send(flood.toByteArray());
      flooding.send(TestClient.encodeRequest(STATUS_ID, STATUS, Map.of(), null));
      reading.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    flooded.set(true);
    assertTrue(maxHeld.get() < MAX_HELD, "requests, endpoints and connections: " + maxHeld);
  }

  private static Void receiveUntilStatus(TestClient client) throws IOException {
    while (client.receive().messageId() != STATUS_ID) {
      // Requests that are not admitted are answered, although their client cancels them.
    }
    return null;
  }

  private static byte[] requests(String method, int count) throws IOException {
    byte[] request = TestClient.encodeRequest(1, method, Map.of(), null);
    ByteArrayOutputStream requests = new ByteArrayOutputStream(count * request.length);
    for (int number = 0; number < count; number++) {
      requests.writeBytes(request);
    }
    return requests.toByteArray();
  }
}
