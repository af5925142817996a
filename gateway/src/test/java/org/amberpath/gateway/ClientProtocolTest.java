package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.ForwardingEventHandler;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that violate the protocol or its bounds must not affect other clients. */
@Timeout(30)
class ClientProtocolTest extends GatewayFixture {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "c1",
        "93",
        "9502c0c0c0c0",
        "940001a9",
        "c6ffffffff",
        "91919191919191",
        "93020000"
      })
  void clientThatSendsInvalidMessagePackLosesOnlyItsConnection(String hex) throws Exception {
    TestClient violatingClient = testbed.client();
    byte[] bytes = new byte[hex.length() / 2];
    for (int index = 0; index < bytes.length; index++) {
      bytes[index] = (byte) Integer.parseInt(hex.substring(2 * index, 2 * index + 2), 16);
    }
    violatingClient.send(bytes);
    byte[] garbage = new byte[300_000];
    java.util.Arrays.fill(garbage, (byte) 0x91);
    try {
      violatingClient.send(garbage);
    } catch (java.io.IOException e) {
      // The gateway has already closed the connection.
    }
    assertTrue(violatingClient.isClosed());
    assertTrue(client.requestStatus().isReady());
  }

  @Test
  void duplicateMessageIdInFlightClosesTheConnection() throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    cache.nextCommand();
    client.sendRequest(1, "parts", 1500, 0);
    assertEquals("Internal", client.receive().error());
    assertTrue(client.isClosed());
    assertEquals("never_mind", cache.nextCommand().element(0));
  }

  @ParameterizedTest
  @CsvSource({
    "lookup, 7f3",
    "lookup, 7f3a9c21e0b4d65z",
    "lookup,",
    "ref, 12",
    "chunk, -1",
    "chunk, x",
    "allow,",
    "allow, NaN",
    "room, big",
    "tag, x",
    "known, '1,2'",
    "replay, 'a,seg=9'"
  })
  void invalidFieldIsNamedInTheError(String field, String value) throws Exception {
    Map<String, String> fields = new HashMap<>(TestClient.requestFields(1, 1500, 0));
    fields.remove(field);
    if (value != null) {
      fields.put(field, value);
    }
    client.send(TestClient.encodeRequest(1, "parts", fields, null));
    ClientAnswer answer = client.receive();
    assertEquals("Internal", answer.error());
    assertTrue(answer.fields().get("why").startsWith(field + ": "), answer.fields().toString());
    TestClient other = testbed.client();
    other.sendRequest(1, "segments", 1500, 0);
    assertEquals("no delivery service segments", other.receive().fields().get("why"));
  }

  @Test
  void noBodyIsReturnedAfterAProtocolError() throws Exception {
    client.sendRequest(1, "parts", 5000, 0);
    ReceivedCommand command = cache.nextCommand();
    client.send(TestClient.encodeRequest(2, "parts", TestClient.requestFields(1, 1500, 1), null));
    assertEquals("ref: open already", client.receive().fields().get("why"));
    assertEquals("Internal", client.receive().error());
    command.replyOk("too late");
    client.sendRequest(3, "parts", 1500, 0);
    assertEquals("Internal", client.receive().error());
    assertTrue(testbed.client().requestStatus().isReady());
  }

  @Test
  void tooManyRequestsInFlightCloseTheConnectionAndNoneIsForwarded() throws Exception {
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    for (int number = 1; number <= 33; number++) {
      requests.writeBytes(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 1500, 0), new byte[0]));
    }
    client.send(requests.toByteArray());
    for (int number = 1; number <= 33; number++) {
      assertEquals("Internal", client.receive().error());
    }
    assertTrue(client.isClosed());
    TestClient otherClient = testbed.client();
    otherClient.sendRequest(99, "parts", 1500, 0);
    ReceivedCommand command = cache.nextCommand();
    while (!command.element(1).equals(String.format("%016x", 99))) {
      command = cache.nextCommand();
    }
    command.replyOk("another's");
    assertEquals("another's", text(otherClient.receive()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 60})
  void clientThatSendsNoCompleteMessageIsDisconnectedInTime(int sentBytes) throws Exception {
    TestClient incompleteClient = testbed.client();
    byte[] message =
        TestClient.encodeRequest(1, "parts", TestClient.requestFields(1, 1500, 0), null);
    incompleteClient.send(java.util.Arrays.copyOf(message, sentBytes));
    long startNanos = System.nanoTime();
    assertTrue(incompleteClient.isClosed());
    assertTrue(System.nanoTime() - startNanos < 3_000_000_000L);
  }

  @Test
  void leastActiveConnectionIsEvictedAboveTheConnectionBound() throws Exception {
    TestClient idleClient = testbed.client();
    idleClient.sendRequest(7, "parts", 1500, 0);
    cache.nextCommand().replyOk("a usual client");
    idleClient.receive();
    client.sendRequest(1, "parts", 9000, 0);
    ReceivedCommand command = cache.nextCommand();
    List<TestClient> statusClients = new ArrayList<>();
    for (int count = 0; count < 80; count++) {
      statusClients.add(testbed.client());
      assertTrue(statusClients.get(count).requestStatus().isReady());
    }
    assertTrue(statusClients.get(0).isClosed());
    assertTrue(statusClients.get(79).requestStatus().isReady());
    TestClient silentClient = testbed.client();
    TestClient newClient = testbed.client();
    assertTrue(newClient.requestStatus().isReady());
    assertTrue(silentClient.isClosed());
    command.replyOk("still there");
    assertEquals("still there", text(client.receive()));
    assertTrue(
        idleClient.requestStatus().isReady(),
        "a client with a part request is evicted after clients with status requests only");
  }

  @Test
  void clientThatDoesNotReadLosesOnlyItsConnection() throws Exception {
    TestClient slowClient = testbed.client();
    byte[] part = new byte[240_000];
    testbed.executor.execute(
        () -> {
          try {
            while (true) {
              cache.commands.take().reply("ok", "res=h,entity=1,issued=2", part);
            }
          } catch (Exception e) {
            // Expected at the end of the test.
          }
        });
    List<Integer> sentRequests = new ArrayList<>();
    try {
      for (int number = 1; number < 5000; number++) {
        slowClient.sendRequest(number, "parts", 1500, 0);
        client.sendRequest(10_000 + number, "parts", 1500, 0).receive();
        sentRequests.add(number);
      }
    } catch (java.net.SocketException e) {
      assertTrue(sentRequests.size() > 4);
      assertTrue(client.requestStatus().isReady());
      return;
    }
    assertFalse(true, "the connection of the client that does not read is still open");
  }

  @Test
  void connectionWithARequestInFlightIsNotEvictedForNewOnes() throws Exception {
    client.sendRequest(1, "parts", 4000, 0);
    ReceivedCommand command = cache.nextCommand();
    byte[] nextRequest =
        TestClient.encodeRequest(2, "parts", TestClient.requestFields(2, 4000, 1), new byte[300]);
    client.send(java.util.Arrays.copyOf(nextRequest, nextRequest.length - 200));
    // Client connections may use 64 of 128 descriptors.
    for (int silent = 0; silent < 70; silent++) {
      testbed.client();
    }
    Thread.sleep(STALL_MILLIS / 2); // Time in which the connection must not be evicted.
    command.replyOk("kept");
    assertEquals("kept", text(client.receive()));
  }

  @Test
  void requestsAboveTheInFlightBoundAreRejected() throws Exception {
    TestClient other = testbed.client();
    for (int number = 1; number <= 48; number++) {
      (number <= 24 ? client : other).sendRequest(number, "parts", 5000, number);
      (number <= 24 ? client : other).requestStatus();
    }
    client.sendRequest(49, "parts", 5000, 0);
    for (ClientAnswer answer = client.receive();
        answer.messageId() != 49;
        answer = client.receive()) {
      assertNotNull(answer.error());
    }
  }

  /** The router throws for part 13 only. */
  @Test
  void failureInTheRouterFailsOnlyThatRequest() throws Exception {
    testbed.close();
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    RequestRouter router = new RequestRouter(options.routingConfig());
    testbed.start(
        options,
        (now, in, to) ->
            router.decide(
                now,
                events ->
                    in.replayTo(
                        new ForwardingEventHandler(events) {
                          @Override
                          public void requestReceived(RequestDetails request) {
                            if (request.part() == 13) {
                              throw new IllegalStateException("part 13");
                            }
                            super.requestReceived(request);
                          }
                        }),
                to));
    client = testbed.client();
    client.sendRequest(1, "parts", 1500, 13).sendRequest(2, "parts", 1500, 2);
    assertEquals("Internal", client.receive().error());
    cache.nextCommand().replyOk("another");
    assertEquals("another", text(client.receive()));
  }
}
