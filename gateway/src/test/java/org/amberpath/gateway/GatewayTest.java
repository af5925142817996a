package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.ForwardingEventHandler;
import org.amberpath.gateway.testsupport.GatewayProcess;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StallingRouter;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingEventHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Stories of one gateway among clients, caches and a journal. */
@Timeout(30)
class GatewayTest {
  @TempDir private Path folder;
  private GatewayTestbed testbed;
  private StubCache cache;
  private TestClient client;

  @BeforeEach
  void start() throws Exception {
    testbed = new GatewayTestbed();
    cache = testbed.start(folder);
    client = testbed.client();
  }

  @AfterEach
  void end() throws Exception {
    testbed.close();
  }

  private static String text(ClientAnswer answer) {
    return answer.body() == null
        ? answer.error()
        : new String(answer.body(), StandardCharsets.UTF_8);
  }

  // ---- The way of a GET.

  @Test
  void fieldsAndBodiesAreForwardedUnchanged() throws Exception {
    byte[] body = {0, 13, 10, -1, 42};
    Map<String, String> fields = TestClient.requestFields(0x51, 1500, 3);
    fields.put("known", "4be0c1927d55a6f3");
    fields.put("replay", "till-4/receipt=17");
    client.send(TestClient.encodeRequest(7, "parts", fields, body));
    ReceivedCommand command = cache.nextCommand();
    assertEquals("want", command.element(0));
    assertEquals("0000000000000051", command.element(1));
    int left = Integer.parseInt(command.field("ms"));
    assertTrue(left > 1000 && left <= 1500, command.element(2));
    assertEquals(
        "kind=parts,obj="
            + GatewayTestbed.OBJECT_ID
            + ",seg=3,miss=o0,prio=1,f=join,mine=4be0c1927d55a6f3,"
            + "token=till-4/receipt=17",
        command.element(2).replaceFirst("ms=\\d+,", ""));
    assertArrayEquals(body, command.elements().get(3));
    byte[] part = new byte[240_000];
    part[100_000] = 7;
    command.reply("ok", "res=f,entity=1,issued=2", part);
    ClientAnswer answer = client.receive();
    assertEquals(7, answer.messageId());
    assertArrayEquals(part, answer.body());
  }

  @Test
  void uncacheableRequestGoesToTheOriginAndItsResponseNeedsNoTag() throws Exception {
    client.sendRequest(1, "marks", 1500, 0);
    testbed.origin.nextCommand().reply("ok", "-", "marked".getBytes(StandardCharsets.UTF_8));
    assertEquals("marked", text(client.receive()));
  }

  @Test
  void absentFieldIsOmittedFromTheCommand() throws Exception {
    client.sendRequest(1, "parts", 1500, 40);
    ReceivedCommand command = cache.nextCommand();
    assertNull(command.field("prio"));
    assertNull(command.field("mine"));
    assertNull(command.field("within"));
  }

  @Test
  void responsesAreReturnedInAnyOrderOnOneConnection() throws Exception {
    client.sendRequest(1, "parts", 1500, 0).sendRequest(2, "parts", 1500, 1);
    ReceivedCommand first = cache.nextCommand();
    ReceivedCommand second = cache.nextCommand();
    assertSame(first.socket(), second.socket());
    second.replyOk("second");
    assertEquals("second", text(client.receive()));
    first.replyOk("first");
    assertEquals("first", text(client.receive()));
  }

  @Test
  void requestMayArriveByteByByteAndTheNextWithItsEnd() throws Exception {
    byte[] first =
        TestClient.encodeRequest(1, "parts", TestClient.requestFields(1, 1500, 0), new byte[300]);
    for (int at = 0; at < first.length - 1; at++) {
      client.send(new byte[] {first[at]});
    }
    byte[] second =
        TestClient.encodeRequest(2, "parts", TestClient.requestFields(2, 1500, 1), new byte[0]);
    byte[] rest = new byte[second.length + 1];
    rest[0] = first[first.length - 1];
    System.arraycopy(second, 0, rest, 1, second.length);
    client.send(rest);
    cache.nextCommand().replyOk("first");
    cache.nextCommand().replyOk("second");
    assertEquals(
        List.of("first", "second"), List.of(text(client.receive()), text(client.receive())));
  }

  @Test
  void notModifiedIsReturnedForTheClientsOwnCopy() throws Exception {
    Map<String, String> fields = TestClient.requestFields(1, 1500, 0);
    fields.put("known", "4be0c1927d55a6f3");
    client.send(TestClient.encodeRequest(1, "parts", fields, null));
    cache.nextCommand().reply("current", "res=h,entity=4be0c1927d55a6f3,issued=1", new byte[0]);
    ClientAnswer answer = client.receive();
    assertEquals(0, answer.body().length);
    assertEquals("1", answer.fields().get("valid"));
  }

  // ---- How a forward ends.

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
  void requestsCancelledInTheSameTurnLeaveNothingBehind() throws Exception {
    for (int number = 1; number <= 200; number++) {
      ByteArrayOutputStream both = new ByteArrayOutputStream();
      both.writeBytes(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 1500, 0), new byte[0]));
      both.writeBytes(TestClient.encodeCancel(number));
      client.send(both.toByteArray()).requestStatus();
    }
    client.sendRequest(1000, "parts", 1500, 0);
    ReceivedCommand command = cache.nextCommand();
    assertEquals(String.format("%016x", 1000), command.element(1));
    command.replyOk("there is room");
    assertEquals("there is room", text(client.receive()));
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
  void replyStatusDeterminesTheError(String word, String error) throws Exception {
    client.sendRequest(1, "orders", 1500, 0);
    cache.nextCommand().reply(word, "-", new byte[0]);
    assertEquals(error, client.receive().error());
  }

  @Test
  void unansweredAttemptTimesOutWithOneResponseInTime() throws Exception {
    long sentAt = System.nanoTime();
    client.sendRequest(1, "parts", 300, 0);
    ReceivedCommand command = cache.nextCommand();
    assertEquals("Internal", client.receive().error());
    long took = (System.nanoTime() - sentAt) / 1_000_000;
    assertTrue(took >= 290 && took < 2000, took + " ms");
    assertEquals(9999, client.requestStatus().messageId());
    assertEquals("0000000000000001", command.element(1));
  }

  @Test
  void unresponsiveConnectionGetsNoFurtherCommand() throws Exception {
    client.sendRequest(1, "parts", 600, 0).sendRequest(2, "parts", 5000, 1);
    ReceivedCommand silent = cache.nextCommand();
    ReceivedCommand slow = cache.nextCommand();
    assertEquals("Internal", client.receive().error());
    cache.nextCommand();
    client.sendRequest(3, "parts", 5000, 0);
    ReceivedCommand fresh = cache.nextCommand();
    assertNotEquals(silent.socket(), fresh.socket());
    fresh.replyOk("fresh");
    assertEquals("fresh", text(client.receive()));
    slow.replyOk("slow, and not given up");
    assertEquals("slow, and not given up", text(client.receive()));
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
    cache.nextCommand().replyOk("on another");
    assertEquals("on another", text(client.receive()));
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
  void incompleteReplyMayHaveExecutedTheRequest(String spoilt) throws Exception {
    client.sendRequest(1, "orders", 1500, 0);
    String[] parts = spoilt.split("[|]", -1);
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
    next.replyOk("on another");
    assertEquals("on another", text(client.receive()));
  }

  @Test
  void eventLoopLagIsNotCountedAsResponseTime() throws Exception {
    testbed.close();
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    RequestRouter control = new RequestRouter(options.routingConfig());
    BlockingQueue<Long> times = new LinkedBlockingQueue<>();
    CountDownLatch still = new CountDownLatch(1);
    testbed.start(
        options,
        (now, in, to) ->
            control.decide(
                now,
                events ->
                    in.replayTo(
                        new ForwardingEventHandler(events) {
                          @Override
                          public void requestReceived(RequestDetails request) {
                            if (request.part() == 13) {
                              still.countDown();
                              long until = System.nanoTime() + 600_000_000;
                              while (System.nanoTime() < until) {
                                Thread.onSpinWait();
                              }
                            }
                            super.requestReceived(request);
                          }

                          @Override
                          public void attemptEnded(AttemptResult result) {
                            times.add(result.durationNanos());
                            super.attemptEnded(result);
                          }
                        }),
                to));
    client = testbed.client();
    client.sendRequest(1, "parts", 5000, 0);
    ReceivedCommand command = cache.nextCommand();
    client.sendRequest(2, "parts", 5000, 13);
    still.await();
    command.replyOk("came while it stood still");
    assertEquals("came while it stood still", text(client.receive()));
    assertTrue(times.take() < 300_000_000L);
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
    RequestRouter control = new RequestRouter(options.routingConfig());
    testbed.start(
        options,
        (now, in, to) ->
            control.decide(
                now,
                events ->
                    in.replayTo(
                        new ForwardingEventHandler(events) {
                          @Override
                          public void requestReceived(RequestDetails request) {
                            to.sendAttempt(
                                new AttemptCommand(
                                    request.id(), 0, now + request.timeLeftNanos(), 0, 0, 1, 0));
                            to.sendAttempt(
                                new AttemptCommand(
                                    request.id(), 0, now + request.timeLeftNanos(), 0, 0, 2, 0));
                          }
                        }),
                to));
    testbed.client().sendRequest(1, "parts", 1500, 0);
    ReceivedCommand first = cache.nextCommand();
    ReceivedCommand second = cache.nextCommand();
    assertEquals(first.element(1), second.element(1));
    assertNotEquals(first.socket(), second.socket());
  }

  // ---- Lists, drains and purges.

  @Test
  void drainingCacheAndDrainingFillSourceGetNoNewRequest() throws Exception {
    StubCache other = testbed.cache();
    testbed.journal.listEndpoint("o0", "127.0.0.1:1", "origin", "draining");
    testbed.journal.listEndpoint("c0", cache.address(), "box", "draining");
    testbed.journal.listEndpoint("c1", other.address(), "box", "ready");
    String last = "tail=5&max_wait=2000";
    for (String poll = "";
        !last.equals(poll);
        poll = testbed.journal.polls.poll(10, TimeUnit.SECONDS)) {
      assertNotNull(poll);
    }
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand command = other.nextCommand();
    assertNull(command.field("miss"));
    assertTrue(cache.commands.isEmpty());
  }

  @Test
  void attemptWaitingForAConnectionIsRoutedAnewWhereItsCacheOrSourceDrains() throws Exception {
    for (String drained : List.of("c0", "o0")) {
      testbed.close();
      testbed = new GatewayTestbed();
      StubCache origin = testbed.cache();
      String full = testbed.fullAddress();
      testbed.journal.listEndpoint("c0", full, "box", "ready");
      testbed.journal.listEndpoint("o0", origin.address(), "origin", "ready");
      Map<String, String> environment = testbed.environment(folder);
      Path file = Path.of(environment.get("PROXY_CONFIG"));
      Files.writeString(
          file,
          Files.readString(file).replace("\"connect-timeout-s\":0.4", "\"connect-timeout-s\":9"));
      testbed.start(GatewayOptions.read(environment), null);
      client = testbed.client();
      client.sendRequest(1, "orders", 3000, 0);
      client.requestStatus();
      cache = testbed.cache();
      testbed.journal.listEndpoint("c1", cache.address(), "box", "ready");
      boolean edge = drained.equals("c0");
      testbed.journal.listEndpoint(
          drained, edge ? full : origin.address(), edge ? "box" : "origin", "draining");
      cache.nextCommand().replyOk("elsewhere");
      assertEquals("elsewhere", text(client.receive()));
    }
  }

  @Test
  void purgeBoundsTheAgeOfTheNextCopy() throws Exception {
    testbed.journal.addEntry(
        "\"expire\":{\"name\":\""
            + GatewayTestbed.OBJECT_ID
            + "\",\"stamp\":"
            + (System.currentTimeMillis() - 200)
            + "}");
    String within = null;
    for (int number = 1; within == null; number++) {
      client.sendRequest(number, "parts", 1500, 0);
      ReceivedCommand command = cache.nextCommand();
      within = command.field("within");
      command.replyOk("x");
      client.receive();
    }
    assertTrue(Long.parseLong(within) >= 198 && Long.parseLong(within) < 2000, within);
  }

  @Test
  void silentOrInvalidJournalIsPolledAgainAndTheListStays() throws Exception {
    testbed.journal.replyOverride = "{\"pos\":\"many\"}";
    testbed.journal.addEntry("\"expire\":{\"set\":3,\"stamp\":1}");
    awaitPolls(3);
    testbed.journal.replyOverride = "";
    awaitPolls(2);
    client = testbed.client();
    client.sendRequest(1, "parts", 1500, 0);
    cache.nextCommand().replyOk("still known");
    assertEquals("still known", text(client.receive()));
    testbed.journal.replyOverride = null;
    awaitPoll("tail=3&");
  }

  @Test
  void fullListReplacesTheFormerOneAndItsAddressesBelongToTheNewCaches() throws Exception {
    client.sendRequest(1, "parts", 1500, 0);
    ReceivedCommand old = cache.nextCommand();
    old.replyOk("old");
    client.receive();
    testbed.journal.addEntry(
        "\"hosts\":{\"reset\":true,\"instances\":[{\"instanceId\":\"c9\",\"hostPort\":\""
            + cache.address()
            + "\",\"zone\":\"z\",\"machineType\":\"box\",\"lifecycle\":\"ready\"}]}");
    awaitPoll("tail=3&");
    client.sendRequest(2, "parts", 1500, 0);
    ReceivedCommand fresh = cache.nextCommand();
    assertNotEquals(old.socket(), fresh.socket());
    assertNull(fresh.field("miss"), "the origin is not in the new list");
  }

  @Test
  void endpointsThatComeAndGoLeaveNothingBehind() throws Exception {
    int here = 3; // Two caches and a client.
    for (int many = 0; many < 300; many++) {
      testbed.journal.listEndpoint("x" + many, cache.address(), "box", "ready");
      testbed.journal.listEndpoint("x" + many, "", "box", "gone");
    }
    awaitPoll("tail=602&");
    client.sendRequest(1, "parts", 1500, 0);
    cache.nextCommand().replyOk("still known");
    assertEquals("still known", text(client.receive()));
    for (int many = 0; many < 300 && testbed.gateway.resourceCount() > here; many++) {
      client.requestStatus();
      Thread.sleep(10);
    }
    assertEquals(here, testbed.gateway.resourceCount());
  }

  @Test
  void reloadMovesTheJournalAndAnInvalidConfigurationChangesNothing() throws Exception {
    GatewayTestbed other = new GatewayTestbed();
    try {
      Process process = startProcess(0);
      Path file = folder.resolve("config.json");
      String good = Files.readString(file);
      try (BufferedReader log = process.inputReader()) {
        awaitServing(log);
        for (String bad : List.of("{", good.replace("\"journal\":\"", "\"journal\":\"x"))) {
          Files.writeString(file, bad);
          sendSighup(process);
          GatewayProcess.awaitLine(log, "SIGHUP: configuration unchanged: ");
        }
        Files.writeString(file, good.replace(testbed.journal.address(), other.journal.address()));
        sendSighup(process);
        GatewayProcess.awaitLine(log, "journal polled at");
        String poll = other.journal.polls.poll(10, TimeUnit.SECONDS);
        assertTrue(poll != null && poll.startsWith("tail=2&"), poll);
      } finally {
        process.destroyForcibly();
      }
    } finally {
      other.close();
    }
  }

  /**
   * Met on a roll day of the fleet bench that was started by nohup: no new configuration was ever
   * taken.
   */
  @Test
  void configurationIsReloadedWhereSighupIsIgnored() throws Exception {
    GatewayTestbed other = new GatewayTestbed();
    Path file = Path.of(testbed.environment(folder).get("PROXY_CONFIG"));
    Process process =
        GatewayProcess.startWithHangUpIgnored(
            folder, Map.of("PROXY_LISTEN", "127.0.0.1:0", "PROXY_CONFIG", file.toString()));
    try (BufferedReader log = process.inputReader()) {
      GatewayProcess.awaitLine(log, "SIGHUP is ignored");
      awaitServing(log);
      sendSighup(process);
      Files.writeString(
          file, Files.readString(file).replace(testbed.journal.address(), other.journal.address()));
      GatewayProcess.awaitLine(log, "journal polled at");
      assertNotNull(other.journal.polls.poll(10, TimeUnit.SECONDS));
    } finally {
      process.destroyForcibly();
      other.close();
    }
  }

  private static void sendSighup(Process process) throws Exception {
    GatewayProcess.signal(process, "HUP");
  }

  @Test
  void statusIsReadyOnlyOnceAnEndpointListIsKnown() throws Exception {
    testbed.close();
    testbed = new GatewayTestbed();
    testbed.start(GatewayOptions.read(testbed.environment(folder)), null);
    client = testbed.client();
    assertFalse(client.requestStatus().isReady());
    testbed.journal.listEndpoint("c0", "127.0.0.1:1", "box", "ready");
    awaitPoll("tail=1&");
    assertTrue(client.requestStatus().isReady());
  }

  private void awaitPolls(int many) throws InterruptedException {
    for (int poll = 0; poll < many; poll++) {
      assertNotNull(testbed.journal.polls.poll(10, TimeUnit.SECONDS));
    }
  }

  private void awaitPoll(String start) throws InterruptedException {
    String poll = "";
    while (!poll.startsWith(start)) {
      poll = testbed.journal.polls.poll(10, TimeUnit.SECONDS);
      assertNotNull(poll);
    }
  }

  // ---- Bad input.

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
  void clientThatSendsNoMessagePackLosesItsConnectionAndNoOther(String hex) throws Exception {
    TestClient bad = testbed.client();
    byte[] bytes = new byte[hex.length() / 2];
    for (int at = 0; at < bytes.length; at++) {
      bytes[at] = (byte) Integer.parseInt(hex.substring(2 * at, 2 * at + 2), 16);
    }
    bad.send(bytes);
    byte[] many = new byte[300_000];
    java.util.Arrays.fill(many, (byte) 0x91);
    try {
      bad.send(many);
    } catch (java.io.IOException e) {
      // Closed already.
    }
    assertTrue(bad.isClosed());
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
    ByteArrayOutputStream flood = new ByteArrayOutputStream();
    for (int number = 1; number <= 33; number++) {
      flood.writeBytes(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 1500, 0), new byte[0]));
    }
    client.send(flood.toByteArray());
    for (int number = 1; number <= 33; number++) {
      assertEquals("Internal", client.receive().error());
    }
    assertTrue(client.isClosed());
    TestClient good = testbed.client();
    good.sendRequest(99, "parts", 1500, 0);
    ReceivedCommand command = cache.nextCommand();
    while (!command.element(1).equals(String.format("%016x", 99))) {
      command = cache.nextCommand();
    }
    command.replyOk("another's");
    assertEquals("another's", text(good.receive()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 60})
  void clientThatSendsNoCompleteMessageIsDisconnectedInTime(int bytes) throws Exception {
    TestClient owes = testbed.client();
    byte[] whole = TestClient.encodeRequest(1, "parts", TestClient.requestFields(1, 1500, 0), null);
    owes.send(java.util.Arrays.copyOf(whole, bytes));
    long since = System.nanoTime();
    assertTrue(owes.isClosed());
    assertTrue(System.nanoTime() - since < 3_000_000_000L);
  }

  @Test
  void leastActiveConnectionIsEvictedPastTheConnectionBound() throws Exception {
    TestClient idle = testbed.client();
    idle.sendRequest(7, "parts", 1500, 0);
    cache.nextCommand().replyOk("a usual client");
    idle.receive();
    client.sendRequest(1, "parts", 9000, 0);
    ReceivedCommand command = cache.nextCommand();
    List<TestClient> held = new ArrayList<>();
    for (int many = 0; many < 80; many++) {
      held.add(testbed.client());
      assertTrue(held.get(many).requestStatus().isReady());
    }
    assertTrue(held.get(0).isClosed());
    assertTrue(held.get(79).requestStatus().isReady());
    TestClient silent = testbed.client();
    TestClient fresh = testbed.client();
    assertTrue(fresh.requestStatus().isReady());
    assertTrue(silent.isClosed());
    command.replyOk("still there");
    assertEquals("still there", text(client.receive()));
    assertTrue(
        idle.requestStatus().isReady(),
        "one that asks for GETs does not go for many that ask for the status");
  }

  @Test
  void clientThatDoesNotReadLosesItsConnectionAndNoOther() throws Exception {
    TestClient deaf = testbed.client();
    byte[] part = new byte[240_000];
    testbed.threads.execute(
        () -> {
          try {
            while (true) {
              cache.commands.take().reply("ok", "res=h,entity=1,issued=2", part);
            }
          } catch (Exception e) {
            // The end of the test.
          }
        });
    List<Integer> open = new ArrayList<>();
    try {
      for (int number = 1; number < 5000; number++) {
        deaf.sendRequest(number, "parts", 1500, 0);
        client.sendRequest(10_000 + number, "parts", 1500, 0).receive();
        open.add(number);
      }
    } catch (java.net.SocketException e) {
      assertTrue(open.size() > 4);
      assertTrue(client.requestStatus().isReady());
      return;
    }
    assertFalse(true, "the deaf client still has its connection");
  }

  @Test
  void requestsPastTheInFlightBoundAreRejected() throws Exception {
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

  /** Decisions that fail on one object. */
  @Test
  void failureInTheRouterFailsThatRequestAndNoOther() throws Exception {
    testbed.close();
    testbed = new GatewayTestbed();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    RequestRouter control = new RequestRouter(options.routingConfig());
    testbed.start(
        options,
        (now, in, to) ->
            control.decide(
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

  // ---- Start and stop.

  @Test
  void gatewayServesAfterAWarmUpOverItsOwnAddress() throws Exception {
    Process process = startProcess(0);
    try (BufferedReader log = process.inputReader()) {
      GatewayProcess.awaitLine(log, "warm-up: ");
      awaitServing(log);
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void stoppingGatewayAnswersWhatItReceivedAndWhatStillArrives() throws Exception {
    client.sendRequest(1, "parts", 2500, 0);
    ReceivedCommand taken = cache.nextCommand();
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    while (client.requestStatus().isReady()) {
      assertFalse(stopped.isDone());
    }
    TestClient late = testbed.client();
    late.sendRequest(2, "parts", 1500, 1);
    cache.nextCommand().replyOk("came late");
    assertEquals("came late", text(late.receive()));
    taken.replyOk("was taken");
    assertEquals("was taken", text(client.receive()));
    stopped.get(10, TimeUnit.SECONDS);
    assertEquals(Gateway.Phase.STOPPED, testbed.gateway.phase());
    assertTrue(client.isClosed());
  }

  @Test
  void requestInFlightJustBeforeSigkillIsAnswered() throws Exception {
    client.sendRequest(1, "parts", 9000, 0);
    cache.nextCommand();
    long since = System.nanoTime();
    testbed.gateway.stop();
    assertEquals("Internal", client.receive().error());
    assertTrue(System.nanoTime() - since < 3_700_000_000L);
  }

  @Test
  void processExitsAfterSigtermWithAllRequestsAnswered() throws Exception {
    int port = freePort();
    Process process = startProcess(port);
    try (BufferedReader log = process.inputReader()) {
      awaitServing(log);
      TestClient outside = testbed.client(port);
      assertTrue(outside.requestStatus().isReady());
      outside.sendRequest(1, "parts", 2500, 0);
      ReceivedCommand command = cache.nextCommand();
      sendSighup(
          process); // A reload that is under way, and the same word once more, change nothing in
      // that.
      process.destroy();
      process.destroy();
      while (outside.requestStatus().isReady()) {
        assertTrue(process.isAlive());
      }
      command.replyOk("before the end");
      assertEquals("before the end", text(outside.receive()));
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void killedGatewayRestartsAtOnceAtItsAddressWithoutState() throws Exception {
    int port = freePort();
    for (int start = 1; start <= 2; start++) {
      Process process = startProcess(port);
      try (BufferedReader log = process.inputReader()) {
        awaitServing(log);
        TestClient outside = testbed.client(port);
        outside.sendRequest(start, "parts", 5000, 0);
        assertEquals("1", cache.nextCommand().field("prio"));
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "listen, no-address, PROXY_LISTEN no address:port: no-address",
    "listen, taken, PROXY_LISTEN: can't listen at",
    "known, asleep, configuration known entries hosts instances: field 'lifecycle' is of no known"
        + " kind: asleep",
    "config, /nowhere.json, PROXY_CONFIG: /nowhere.json can't be read"
  })
  void startFailureIsOneMessage(String key, String value, String message) throws Exception {
    Path file = Path.of(testbed.environment(folder).get("PROXY_CONFIG"));
    if (key.equals("known")) {
      Files.writeString(file, Files.readString(file).replace("ready", value));
    }
    String listen =
        value.equals("taken") ? cache.address() : key.equals("listen") ? value : "127.0.0.1:0";
    Process process =
        startProcess(
            Map.of(
                "PROXY_LISTEN",
                listen,
                "PROXY_CONFIG",
                key.equals("config") ? value : file.toString()));
    try (BufferedReader log = process.inputReader()) {
      List<String> lines =
          new ArrayList<>(log.lines().filter(line -> !line.contains(" INFO ")).toList());
      boolean settingsAreValid = value.equals("taken") || key.equals("known");
      if (settingsAreValid && GatewayProcess.inheritsIgnoredHangUp()) {
        String first = lines.remove(0);
        assertTrue(first.matches(GatewayProcess.HANG_UP_IGNORED), first);
      }
      assertTrue(lines.size() == 1 && lines.get(0).startsWith(message), lines.toString());
      assertEquals(1, process.waitFor());
    }
  }

  private Process startProcess(int port) throws Exception {
    return startProcess(
        Map.of(
            "PROXY_LISTEN",
            "127.0.0.1:" + port,
            "PROXY_CONFIG",
            testbed.environment(folder).get("PROXY_CONFIG")));
  }

  private Process startProcess(Map<String, String> environment) throws Exception {
    return GatewayProcess.start(folder, environment);
  }

  private static void awaitServing(BufferedReader log) throws Exception {
    GatewayProcess.awaitLine(log, "-> SERVING");
  }

  private static int freePort() throws Exception {
    try (java.net.ServerSocket socket = new java.net.ServerSocket(0, 1, GatewayTestbed.LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  @Test
  void connectionWithARequestInFlightIsNotEvictedForNewOnes() throws Exception {
    client.sendRequest(1, "parts", 4000, 0);
    ReceivedCommand command = cache.nextCommand();
    byte[] next =
        TestClient.encodeRequest(2, "parts", TestClient.requestFields(2, 4000, 1), new byte[300]);
    client.send(java.util.Arrays.copyOf(next, next.length - 200));
    for (int silent = 0; silent < 70; silent++) { // Its clients may hold 64 of 128 descriptors.
      testbed.client();
    }
    Thread.sleep(STALL_MILLIS / 2);
    command.replyOk("kept");
    assertEquals("kept", text(client.receive()));
  }

  // ---- News that is too old to decide by.

  private static final long TIMEOUT_MILLIS = 5000;
  private static final long STALL_MILLIS = 400;

  /** A second world, with two caches; its loop stands still from the next round on. */
  private StallingRouter startStallingGateway(GatewayTestbed other, StubCache... caches)
      throws Exception {
    for (int at = 0; at < caches.length; at++) {
      other.journal.listEndpoint("c" + at, caches[at].address(), "box", "ready");
    }
    GatewayOptions options = GatewayOptions.read(other.environment(folder));
    StallingRouter decisions = new StallingRouter(options);
    other.start(options, decisions);
    return decisions;
  }

  /**
   * GET 2 makes the loop stand; GET 3 and news come meanwhile, the news after the poll had ended if
   * that is said.
   */
  private static void stallWhile(
      GatewayTestbed other,
      StallingRouter decisions,
      boolean pollEnded,
      TestClient till,
      Runnable news)
      throws Exception {
    decisions.armed = true;
    other.client().sendRequest(2, "parts", 4000, 0);
    assertTrue(decisions.stalled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    till.sendRequest(3, "parts", 4000, 0);
    if (pollEnded) { // Its reply waits at the gateway; what comes after that waits at the journal.
      other.journal.addEntry("\"expire\":{\"set\":200,\"stamp\":1}");
      Thread.sleep(STALL_MILLIS / 4);
    }
    news.run();
    Thread.sleep(STALL_MILLIS);
    decisions.resume.countDown();
  }

  @ParameterizedTest
  @CsvSource({"draining, false", "gone, false", "draining, true", "gone, true"})
  void afterEventLoopLagDrainsAreReadBeforeRequestsAreRouted(String state, boolean pollEnded)
      throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache[] caches = {other.cache(), other.cache()};
      StallingRouter decisions = startStallingGateway(other, caches);
      TestClient till = other.client();
      till.sendRequest(1, "parts", 4000, 0);
      ReceivedCommand first = null;
      for (int at = 0; first == null; at ^= 1) {
        first = caches[at].commands.poll(20, TimeUnit.MILLISECONDS);
      }
      int hashed = caches[0].server.getLocalPort() == first.socket().getLocalPort() ? 0 : 1;
      first.replyOk("before");
      assertEquals("before", text(till.receive()));
      stallWhile(
          other,
          decisions,
          pollEnded,
          till,
          () -> other.journal.listEndpoint("c" + hashed, caches[hashed].address(), "box", state));
      ReceivedCommand late = caches[1 - hashed].nextCommand();
      assertEquals("0000000000000003", late.element(1));
      late.replyOk("after");
      assertEquals("after", text(till.receive()));
      assertTrue(
          caches[hashed].commands.stream()
              .noneMatch(one -> one.element(1).equals("0000000000000003")));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void afterEventLoopLagPurgesAreReadBeforeRequestsAreRouted(boolean pollEnded) throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache only = other.cache();
      StallingRouter decisions = startStallingGateway(other, only);
      stallWhile(
          other,
          decisions,
          pollEnded,
          other.client(),
          () ->
              other.journal.addEntry(
                  "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}"));
      assertNotNull(only.nextCommand().field("within"), "it waited for its connection");
      assertNotNull(only.nextCommand().field("within"));
    }
  }

  @Test
  void requestReceivedBeforeTheFirstJournalReplyIsRoutedAfterIt() throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache only = other.cache();
      other.journal.listEndpoint("c0", only.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      other.journal.addEntry(
          "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}");
      other.journal.replyOverride = ""; // The journal does not reply yet.
      other.gateway = new Gateway(other.vertx, options);
      var started = other.gateway.start();
      assertNotNull(other.journal.polls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      TestClient early = other.client().sendRequest(1, "parts", 4000, 0);
      assertNull(only.commands.poll(STALL_MILLIS / 2, TimeUnit.MILLISECONDS));
      assertFalse(early.socket.getInputStream().available() > 0);
      other.journal.replyOverride = null;
      assertNotNull(only.nextCommand().field("within"));
      started.toCompletionStage().toCompletableFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void gatewayServesKnownEndpointsWhereTheJournalIsDownAtTheStart() throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      StubCache only = other.cache();
      other.journal.listEndpoint("c0", only.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      other.journal.server.stop(0);
      other.start(options, null);
      TestClient till = other.client();
      till.sendRequest(1, "parts", 1500, 0);
      only.nextCommand().replyOk("old news");
      assertEquals("old news", text(till.receive()));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"set\":17", "\"name\":\"7f3a9c21e0b4d655\""})
  void attemptWaitingForAConnectionIsNeverSentWhereItsObjectIsPurged(String what) throws Exception {
    try (GatewayTestbed other = new GatewayTestbed()) {
      other.journal.listEndpoint("c0", other.fullAddress(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
      other.start(
          options,
          (now, in, to) ->
              in.replayTo(
                  (RoutingEventHandler)
                      Proxy.newProxyInstance(
                          getClass().getClassLoader(),
                          new Class<?>[] {RoutingEventHandler.class},
                          (proxy, event, arguments) -> {
                            if (event.getName().equals("requestReceived")) {
                              to.sendAttempt(
                                  new AttemptCommand(
                                      ((RequestDetails) arguments[0]).id(), 0, 0, 0, 0, 0, 0));
                            } else if (event.getName().equals("attemptEnded")) {
                              outcomes.add(((AttemptResult) arguments[0]).outcome());
                            }
                            return null;
                          })));
      other.client().sendRequest(1, "parts", 4000, 0);
      Thread.sleep(STALL_MILLIS / 4);
      other.journal.addEntry(
          "\"expire\":{" + what + ",\"stamp\":" + System.currentTimeMillis() + "}");
      assertEquals(AttemptOutcome.WITHDRAWN, outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }
}
