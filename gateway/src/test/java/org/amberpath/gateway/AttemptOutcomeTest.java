package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.ForwardingEventHandler;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the outcomes of attempts and the responses that clients get for them. */
@Timeout(30)
class AttemptOutcomeTest extends GatewayFixture {
  @Test
  void cancelledRequestCancelsItsAttemptAndIsNotAnswered() throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand command = cache.nextCommand();
    client.sendCancel(1).sendCancel(77);
    assertEquals("never_mind", cache.nextCommand().element(0));
    command.replyOk("too late");
    assertEquals(9999, client.requestStatus().messageId());
  }

  @Test
  void requestsCancelledInTheSameTurnAreReleased() throws Exception {
    for (int number = 1; number <= 200; number++) {
      ByteArrayOutputStream requestAndCancel = new ByteArrayOutputStream();
      requestAndCancel.writeBytes(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 1500, 0), new byte[0]));
      requestAndCancel.writeBytes(TestClient.encodeCancel(number));
      client.send(requestAndCancel.toByteArray()).requestStatus();
    }
    client.sendRequest(1000, "parts", 1500, 0);
    ReceivedCommand command = cache.nextCommand();
    assertEquals(String.format("%016x", 1000), command.element(1));
    command.replyOk("served");
    assertEquals("served", text(client.receive()));
  }

  @Test
  void closedClientConnectionCancelsItsRequests() throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    cache.nextCommand();
    client.close();
    ReceivedCommand next = cache.nextCommand();
    assertEquals("never_mind", next.element(0));
    assertEquals("0000000000000001", next.element(1));
  }

  /**
   * Guards against a second effect of an id that comes again after its client has left, and against
   * a late reply to the first request that is taken for the reply to the second.
   */
  @ParameterizedTest
  @ValueSource(strings = {"orders", "parts"})
  void requestOfAClientThatHasLeftIsNotSentAgainUnderItsId(String method) throws Exception {
    client.sendRequest(1, method, 1500, 0);
    cache.nextCommand();
    client.close();
    assertEquals("never_mind", cache.nextCommand().element(0));
    TestClient returned = testbed.client();

    returned.sendRequest(1, method, 1500, 0);

    assertEquals("Internal", text(returned.receive()));
    returned.sendRequest(2, method, 1500, 0);
    ReceivedCommand next = cache.nextCommand();
    assertEquals(String.format("%016x", 2), next.element(1));
    next.replyOk("other");
    assertEquals("other", text(returned.receive()));
  }

  @Test
  void refusedConnectionProvesThatNothingWasExecuted() throws Exception {
    cache.close();
    client.sendRequest(1, "orders", 1500, 0);
    ClientAnswer answer = client.receive();
    assertEquals("Overloaded", answer.error());
    assertTrue(Integer.parseInt(answer.fields().get("cooldown")) > 0);
  }

  @Test
  void resetConnectionMayHaveExecutedTheRequest() throws Exception {
    client.sendRequest(1, "orders", 1500, 0);
    cache.nextCommand().reset();
    assertEquals("Internal", client.receive().error());
  }

  @ParameterizedTest
  @CsvSource({"error, Internal", "refused, Overloaded", "stale, Overloaded"})
  void replyStatusDeterminesTheError(String status, String error) throws Exception {
    client.sendRequest(1, "orders", 1500, 0);
    cache.nextCommand().reply(status, "-", new byte[0]);
    assertEquals(error, client.receive().error());
  }

  @Test
  void unansweredAttemptTimesOutWithOneResponseInTime() throws Exception {
    long sentAt = System.nanoTime();
    client.sendRequest(1, "parts", 300, 0);
    ReceivedCommand command = cache.nextCommand();
    assertEquals("Internal", client.receive().error());
    long tookMillis = (System.nanoTime() - sentAt) / 1_000_000;
    assertTrue(tookMillis >= 290 && tookMillis < 2000, tookMillis + " ms");
    assertEquals(9999, client.requestStatus().messageId());
    assertEquals("0000000000000001", command.element(1));
  }

  @Test
  void unresponsiveConnectionGetsNoFurtherCommand() throws Exception {
    client.sendRequestsTogether("parts", 600, 5000);
    ReceivedCommand unansweredCommand = cache.nextCommand();
    ReceivedCommand slowCommand = cache.nextCommand();
    assertEquals("Internal", client.receive().error());
    cache.nextCommand();
    client.sendRequest(3, "parts", 5000, 0);
    ReceivedCommand newCommand = cache.nextCommand();
    assertNotEquals(unansweredCommand.socket(), newCommand.socket());
    newCommand.replyOk("fresh");
    assertEquals("fresh", text(client.receive()));
    slowCommand.replyOk("slow response");
    assertEquals("slow response", text(client.receive()));
  }

  @Test
  void invalidReplyClosesItsConnectionAndMayHaveExecutedTheRequest() throws Exception {
    client.sendRequest(1, "orders", 1500, 0);
    cache
        .nextCommand()
        .socket()
        .getOutputStream()
        .write("+PONG\r\n".getBytes(StandardCharsets.US_ASCII));
    assertEquals("Internal", client.receive().error());
    client.sendRequest(2, "orders", 1500, 0);
    cache.nextCommand().replyOk("on another connection");
    assertEquals("on another connection", text(client.receive()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ok|res=h",
        "ok|entity=1,issued=x",
        "fine|entity=1,issued=1",
        "current|-",
        "current|entity=1,issued=1"
      })
  void incompleteReplyMayHaveExecutedTheRequest(String statusAndFields) throws Exception {
    client.sendRequest(1, "orders", 1500, 0);
    String[] parts = statusAndFields.split("[|]", -1);
    cache.nextCommand().reply(parts[0], parts[1], new byte[3]);
    assertEquals("Internal", client.receive().error());
  }

  @Test
  void connectionWithAPartialReplyIsNotReused() throws Exception {
    client.sendRequest(1, "parts", 600, 0);
    ReceivedCommand command = cache.nextCommand();
    command.socket().getOutputStream().write("*4\r\n$16\r\n".getBytes(StandardCharsets.US_ASCII));
    assertEquals("Internal", client.receive().error());
    client.sendRequest(2, "parts", 1500, 0);
    ReceivedCommand next = cache.nextCommand();
    assertNotEquals(command.socket(), next.socket());
    next.replyOk("on another connection");
    assertEquals("on another connection", text(client.receive()));
  }

  @Test
  void eventLoopLagIsNotCountedAsResponseTime() throws Exception {
    testbed.close();
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    RequestRouter router = new RequestRouter(options.routingConfig());
    BlockingQueue<Long> durationsNanos = new LinkedBlockingQueue<>();
    CountDownLatch eventLoopBlocked = new CountDownLatch(1);
    testbed.start(
        options,
        (nowNanos, events, actions) ->
            router.decide(
                nowNanos,
                handler ->
                    events.replayTo(
                        new ForwardingEventHandler(handler) {
                          @Override
                          public void requestReceived(RequestDetails request) {
                            if (request.part() == 13) {
                              eventLoopBlocked.countDown();
                              long until = System.nanoTime() + 600_000_000;
                              while (System.nanoTime() < until) {
                                Thread.onSpinWait();
                              }
                            }
                            super.requestReceived(request);
                          }

                          @Override
                          public void attemptEnded(AttemptResult result) {
                            durationsNanos.add(result.durationNanos());
                            super.attemptEnded(result);
                          }
                        }),
                actions));
    client = testbed.client();
    client.sendRequest(1, "parts", 5000, 0);
    ReceivedCommand command = cache.nextCommand();
    client.sendRequest(2, "parts", 5000, 13);
    eventLoopBlocked.await();
    command.replyOk("arrived during the lag");
    assertEquals("arrived during the lag", text(client.receive()));
    assertTrue(durationsNanos.take() < 300_000_000L);
  }

  @Test
  void requestsToOneCacheShareNoConnectionWhereThereIsCapacity() throws Exception {
    client.sendRequest(1, "parts", 5000, 0);
    cache.nextCommand();
    client.sendRequest(2, "parts", 5000, 1);
    ReceivedCommand second = cache.nextCommand();
    client.sendRequest(3, "parts", 5000, 2);
    assertNotEquals(second.socket(), cache.nextCommand().socket());
  }

  @Test
  void replyToACommandThatIsNotInFlightIsDropped() throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand command = cache.nextCommand();
    new ReceivedCommand(
            command.socket(),
            List.of(new byte[0], "ffffffffffffffff".getBytes(StandardCharsets.US_ASCII)))
        .replyOk("?");
    command.replyOk("this");
    command.replyOk("again");
    assertEquals("this", text(client.receive()));
    assertEquals(9999, client.requestStatus().messageId());
  }

  @Test
  void attemptsOfOneRequestNeverShareAConnection() throws Exception {
    testbed.close();
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    RequestRouter router = new RequestRouter(options.routingConfig());
    testbed.start(
        options,
        (nowNanos, events, actions) ->
            router.decide(
                nowNanos,
                handler ->
                    events.replayTo(
                        new ForwardingEventHandler(handler) {
                          @Override
                          public void requestReceived(RequestDetails request) {
                            actions.sendAttempt(
                                new AttemptCommand(
                                    request.id(),
                                    0,
                                    nowNanos + request.timeLeftNanos(),
                                    0,
                                    0,
                                    1,
                                    0));
                            actions.sendAttempt(
                                new AttemptCommand(
                                    request.id(),
                                    0,
                                    nowNanos + request.timeLeftNanos(),
                                    0,
                                    0,
                                    2,
                                    0));
                          }
                        }),
                actions));
    testbed.client().sendRequest(1, "parts", 1500, 0);
    ReceivedCommand first = cache.nextCommand();
    ReceivedCommand second = cache.nextCommand();
    assertEquals(first.element(1), second.element(1));
    assertNotEquals(first.socket(), second.socket());
  }
}
