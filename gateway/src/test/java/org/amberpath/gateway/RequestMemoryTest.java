package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The memory that requests take is bounded over all connections, and each request is answered. */
@Timeout(30)
class RequestMemoryTest extends GatewayFixture {
  /** Together they send more than the 2.7 MB that partial requests may take of 64 MB. */
  private static final int PARTIAL_REQUESTS = 20;

  private static final int RECEIVED_BYTES = 200_000;

  /** The bodies of the maximum length that fit into 2.7 MB. */
  private static final int MAX_BODIES_IN_FLIGHT = 11;

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

  /** Guards against large requests of many clients that wait for caches and exhaust the heap. */
  @Test
  void requestWhoseBodyExceedsTheMemoryForBodiesInFlightIsRejectedUntilOthersHaveEnded()
      throws Exception {
    byte[] body = new byte[ClientConnection.MAX_BODY_BYTES];
    List<ReceivedCommand> commands = new ArrayList<>();
    for (int number = 1; number <= MAX_BODIES_IN_FLIGHT; number++) {
      client.send(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 4000, number), body));
      commands.add(cache.nextCommand());
    }
    TestClient other = testbed.client();

    other.send(TestClient.encodeRequest(1, "parts", TestClient.requestFields(90, 4000, 1), body));
    ClientAnswer rejected = other.receive();
    assertEquals("Overloaded", rejected.error());
    assertTrue(rejected.fields().containsKey("cooldown"));

    commands.get(0).replyOk("done");
    assertEquals("done", text(client.receive()));
    other.send(TestClient.encodeRequest(2, "parts", TestClient.requestFields(91, 4000, 1), body));
    cache.nextCommand().replyOk("admitted");
    assertEquals("admitted", text(other.receive()));
  }
}
