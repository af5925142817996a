package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The memory that requests take is bounded over all connections, and each request is answered. */
@Timeout(30)
class RequestMemoryTest extends GatewayFixture {
  /** Together they send more than the 2.7 MB that partial requests may take of 64 MB. */
  private static final int PARTIAL_REQUESTS = 20;

  private static final int RECEIVED_BYTES = 200_000;

  /** Guards against half requests of hundreds of clients that exhaust the heap. */
  @Test
  void partialRequestsOfManyClientsAreDiscardedAndRejectedOnceTheyAreComplete() throws Exception {
    byte[] request =
        TestClient.encodeRequest(
            1,
            "parts",
            TestClient.requestFields(1, 4000, 1),
            new byte[ClientConnection.MAX_BODY_BYTES]);
    List<TestClient> senders = new ArrayList<>();
    for (int sender = 0; sender < PARTIAL_REQUESTS; sender++) {
      senders.add(testbed.client().send(Arrays.copyOf(request, RECEIVED_BYTES)));
      assertTrue(client.requestStatus().isReady());
    }

    senders.get(0).send(Arrays.copyOfRange(request, RECEIVED_BYTES, request.length));
    ClientAnswer discarded = senders.get(0).receive();
    assertEquals(1, discarded.messageId());
    assertEquals("Overloaded", discarded.error());
    assertTrue(discarded.fields().containsKey("cooldown"));

    TestClient last = senders.get(PARTIAL_REQUESTS - 1);
    last.send(Arrays.copyOfRange(request, RECEIVED_BYTES, request.length));
    cache.nextCommand().replyOk("kept");
    assertEquals("kept", text(last.receive()));

    senders.get(0).sendRequest(2, "parts", 1500, 2);
    cache.nextCommand().replyOk("next");
    assertEquals("next", text(senders.get(0).receive()));
  }
}
