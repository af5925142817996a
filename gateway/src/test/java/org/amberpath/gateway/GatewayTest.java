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
import org.amberpath.gateway.StandIns.Answer;
import org.amberpath.gateway.StandIns.Cache;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.gateway.StandIns.Command;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingEventHandler;
import org.amberpath.routing.RoutingEvents;
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
  private StandIns world;
  private Cache cache;
  private Client client;

  @BeforeEach
  void start() throws Exception {
    world = new StandIns();
    cache = world.start(folder);
    client = world.client();
  }

  @AfterEach
  void end() throws Exception {
    world.close();
  }

  private static String text(Answer answer) {
    return answer.body() == null
        ? answer.error()
        : new String(answer.body(), StandardCharsets.UTF_8);
  }

  // ---- The way of a GET.

  @Test
  void whatGoesOnUnchangedStaysTheBytesThatCame() throws Exception {
    byte[] body = {0, 13, 10, -1, 42};
    Map<String, String> fields = Client.fields(0x51, 1500, 3);
    fields.put("known", "4be0c1927d55a6f3");
    fields.put("replay", "till-4/receipt=17");
    client.send(Client.request(7, "parts", fields, body));
    Command want = cache.next();
    assertEquals("want", want.word(0));
    assertEquals("0000000000000051", want.word(1));
    int left = Integer.parseInt(want.field("ms"));
    assertTrue(left > 1000 && left <= 1500, want.word(2));
    assertEquals(
        "kind=parts,obj="
            + StandIns.OBJECT
            + ",seg=3,miss=o0,prio=1,f=join,mine=4be0c1927d55a6f3,"
            + "token=till-4/receipt=17",
        want.word(2).replaceFirst("ms=\\d+,", ""));
    assertArrayEquals(body, want.elements().get(3));
    byte[] part = new byte[240_000];
    part[100_000] = 7;
    want.answer("ok", "res=f,entity=1,issued=2", part);
    Answer answer = client.answer();
    assertEquals(7, answer.number());
    assertArrayEquals(part, answer.body());
  }

  @Test
  void whatIsNeverKeptGoesPastTheCachesAndItsAnswerNeedsNoTag() throws Exception {
    client.get(1, "marks", 1500, 0);
    world.origin.next().answer("ok", "-", "marked".getBytes(StandardCharsets.UTF_8));
    assertEquals("marked", text(client.answer()));
  }

  @Test
  void anAbsentFieldIsLeftOut() throws Exception {
    client.get(1, "parts", 1500, 40);
    Command want = cache.next();
    assertNull(want.field("prio"));
    assertNull(want.field("mine"));
    assertNull(want.field("within"));
  }

  @Test
  void answersComeInAnyOrderOnOneConnection() throws Exception {
    client.get(1, "parts", 1500, 0).get(2, "parts", 1500, 1);
    Command first = cache.next();
    Command second = cache.next();
    assertSame(first.from(), second.from());
    second.ok("second");
    assertEquals("second", text(client.answer()));
    first.ok("first");
    assertEquals("first", text(client.answer()));
  }

  @Test
  void aRequestMayComeByteByByteAndTheNextWithItsEnd() throws Exception {
    byte[] first = Client.request(1, "parts", Client.fields(1, 1500, 0), new byte[300]);
    for (int at = 0; at < first.length - 1; at++) {
      client.send(new byte[] {first[at]});
    }
    byte[] second = Client.request(2, "parts", Client.fields(2, 1500, 1), new byte[0]);
    byte[] rest = new byte[second.length + 1];
    rest[0] = first[first.length - 1];
    System.arraycopy(second, 0, rest, 1, second.length);
    client.send(rest);
    cache.next().ok("first");
    cache.next().ok("second");
    assertEquals(List.of("first", "second"), List.of(text(client.answer()), text(client.answer())));
  }

  @Test
  void theClientsOwnCopyIsToldToBeTheOne() throws Exception {
    Map<String, String> fields = Client.fields(1, 1500, 0);
    fields.put("known", "4be0c1927d55a6f3");
    client.send(Client.request(1, "parts", fields, null));
    cache.next().answer("current", "res=h,entity=4be0c1927d55a6f3,issued=1", new byte[0]);
    Answer answer = client.answer();
    assertEquals(0, answer.body().length);
    assertEquals("1", answer.fields().get("valid"));
  }

  // ---- How a forward ends.

  @Test
  void aWithdrawnGetIsGivenUpAndNotAnswered() throws Exception {
    client.get(1, "parts", 1500, 0);
    Command want = cache.next();
    client.withdraw(1).withdraw(77);
    assertEquals("never_mind", cache.next().word(0));
    want.ok("too late");
    assertEquals(9999, client.status().number());
  }

  @Test
  void getsWithdrawnInTheSameTurnLeaveNothingBehind() throws Exception {
    for (int number = 1; number <= 200; number++) {
      ByteArrayOutputStream both = new ByteArrayOutputStream();
      both.writeBytes(Client.request(number, "parts", Client.fields(number, 1500, 0), new byte[0]));
      both.writeBytes(Client.withdrawal(number));
      client.send(both.toByteArray()).status();
    }
    client.get(1000, "parts", 1500, 0);
    Command want = cache.next();
    assertEquals(String.format("%016x", 1000), want.word(1));
    want.ok("there is room");
    assertEquals("there is room", text(client.answer()));
  }

  @Test
  void aClientThatIsGoneGivesUpItsGets() throws Exception {
    client.get(1, "parts", 1500, 0);
    cache.next();
    client.close();
    Command next = cache.next();
    assertEquals("never_mind", next.word(0));
    assertEquals("0000000000000001", next.word(1));
  }

  @Test
  void aRefusedConnectionProvesThatNothingRan() throws Exception {
    cache.close();
    client.get(1, "orders", 1500, 0);
    Answer answer = client.answer();
    assertEquals("Overloaded", answer.error());
    assertTrue(Integer.parseInt(answer.fields().get("cooldown")) > 0);
  }

  @Test
  void aResetConnectionMayHaveRunIt() throws Exception {
    client.get(1, "orders", 1500, 0);
    cache.next().reset();
    assertEquals("Internal", client.answer().error());
  }

  @ParameterizedTest
  @CsvSource({"error, Internal", "refused, Overloaded", "stale, Overloaded"})
  void eachAnswerWordIsItsOutcome(String word, String error) throws Exception {
    client.get(1, "orders", 1500, 0);
    cache.next().answer(word, "-", new byte[0]);
    assertEquals(error, client.answer().error());
  }

  @Test
  void silenceEndsWithOneAnswerInTimeAndTheForwardIsGivenUp() throws Exception {
    long sentAt = System.nanoTime();
    client.get(1, "parts", 300, 0);
    Command want = cache.next();
    assertEquals("Internal", client.answer().error());
    long took = (System.nanoTime() - sentAt) / 1_000_000;
    assertTrue(took >= 290 && took < 2000, took + " ms");
    assertEquals(9999, client.status().number());
    assertEquals("0000000000000001", want.word(1));
  }

  @Test
  void aConnectionThatFellSilentTakesNothingNew() throws Exception {
    client.get(1, "parts", 600, 0).get(2, "parts", 5000, 1);
    Command silent = cache.next();
    Command slow = cache.next();
    assertEquals("Internal", client.answer().error());
    cache.next();
    client.get(3, "parts", 5000, 0);
    Command fresh = cache.next();
    assertNotEquals(silent.from(), fresh.from());
    fresh.ok("fresh");
    assertEquals("fresh", text(client.answer()));
    slow.ok("slow, and not given up");
    assertEquals("slow, and not given up", text(client.answer()));
  }

  @Test
  void anUnreadableAnswerClosesThatConnectionAndMayHaveRun() throws Exception {
    client.get(1, "orders", 1500, 0);
    cache.next().from().getOutputStream().write("+PONG\r\n".getBytes(StandardCharsets.US_ASCII));
    assertEquals("Internal", client.answer().error());
    client.get(2, "orders", 1500, 0);
    cache.next().ok("on another");
    assertEquals("on another", text(client.answer()));
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
  void anAnswerThatIsNotWholeMayHaveRun(String spoilt) throws Exception {
    client.get(1, "orders", 1500, 0);
    cache.next().answer(spoilt.split("[|]")[0], spoilt.split("[|]")[1], new byte[3]);
    assertEquals("Internal", client.answer().error());
  }

  @Test
  void aConnectionOnWhichAnAnswerStopsShortIsNotUsedAgain() throws Exception {
    client.get(1, "parts", 600, 0);
    Command want = cache.next();
    want.from().getOutputStream().write("*4\r\n$16\r\n".getBytes(StandardCharsets.US_ASCII));
    assertEquals("Internal", client.answer().error());
    client.get(2, "parts", 1500, 0);
    Command next = cache.next();
    assertNotEquals(want.from(), next.from());
    next.ok("on another");
    assertEquals("on another", text(client.answer()));
  }

  @Test
  void whatTheGatewayStoodStillIsNotTheCachesTime() throws Exception {
    world.close();
    world = new StandIns();
    cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(world.environment(folder));
    RequestRouter control = new RequestRouter(options.routingConfig());
    BlockingQueue<Long> times = new LinkedBlockingQueue<>();
    CountDownLatch still = new CountDownLatch(1);
    world.start(
        options,
        (now, in, to) ->
            control.decide(
                now,
                events ->
                    in.replayTo(
                        new Ear(events) {
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
    client = world.client();
    client.get(1, "parts", 5000, 0);
    Command want = cache.next();
    client.get(2, "parts", 5000, 13);
    still.await();
    want.ok("came while it stood still");
    assertEquals("came while it stood still", text(client.answer()));
    assertTrue(times.take() < 300_000_000L);
  }

  @Test
  void getsAtOneCacheShareNoConnectionWhereThereIsRoom() throws Exception {
    client.get(1, "parts", 5000, 0);
    cache.next();
    client.get(2, "parts", 5000, 1);
    Command second = cache.next();
    client.get(3, "parts", 5000, 2);
    assertNotEquals(second.from(), cache.next().from());
  }

  @Test
  void anAnswerToWhatIsNotOpenIsDropped() throws Exception {
    client.get(1, "parts", 1500, 0);
    Command want = cache.next();
    new Command(
            want.from(),
            List.of(new byte[0], "ffffffffffffffff".getBytes(StandardCharsets.US_ASCII)))
        .ok("?");
    want.ok("this");
    want.ok("again");
    assertEquals("this", text(client.answer()));
    assertEquals(9999, client.status().number());
  }

  @Test
  void twoForwardsOfOneGetNeverShareAConnection() throws Exception {
    world.close();
    world = new StandIns();
    cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(world.environment(folder));
    RequestRouter control = new RequestRouter(options.routingConfig());
    world.start(
        options,
        (now, in, to) ->
            control.decide(
                now,
                events ->
                    in.replayTo(
                        new Ear(events) {
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
    world.client().get(1, "parts", 1500, 0);
    Command first = cache.next();
    Command second = cache.next();
    assertEquals(first.word(1), second.word(1));
    assertNotEquals(first.from(), second.from());
  }

  // ---- Lists, drains and purges.

  @Test
  void aDrainedCacheGetsNothingNewNorASourceThatDrains() throws Exception {
    Cache other = world.cache();
    world.journal.host("o0", "127.0.0.1:1", "origin", "draining");
    world.journal.host("c0", cache.address(), "box", "draining");
    world.journal.host("c1", other.address(), "box", "ready");
    String last = "tail=5&max_wait=2000";
    for (String poll = "";
        !last.equals(poll);
        poll = world.journal.polls.poll(10, TimeUnit.SECONDS)) {
      assertNotNull(poll);
    }
    client.get(1, "parts", 1500, 0);
    Command want = other.next();
    assertNull(want.field("miss"));
    assertTrue(cache.commands.isEmpty());
  }

  @Test
  void whatWaitsForAConnectionGoesElsewhereWhenItsCacheOrSourceDrains() throws Exception {
    for (String drained : List.of("c0", "o0")) {
      world.close();
      world = new StandIns();
      Cache origin = world.cache();
      String full = world.fullAddress();
      world.journal.host("c0", full, "box", "ready");
      world.journal.host("o0", origin.address(), "origin", "ready");
      Map<String, String> environment = world.environment(folder);
      Path file = Path.of(environment.get("PROXY_CONFIG"));
      Files.writeString(
          file,
          Files.readString(file).replace("\"connect-timeout-s\":0.4", "\"connect-timeout-s\":9"));
      world.start(GatewayOptions.read(environment), null);
      client = world.client();
      client.get(1, "orders", 3000, 0);
      client.status();
      cache = world.cache();
      world.journal.host("c1", cache.address(), "box", "ready");
      boolean edge = drained.equals("c0");
      world.journal.host(
          drained, edge ? full : origin.address(), edge ? "box" : "origin", "draining");
      cache.next().ok("elsewhere");
      assertEquals("elsewhere", text(client.answer()));
    }
  }

  @Test
  void aPurgeBoundsTheAgeOfWhatIsAskedForNext() throws Exception {
    world.journal.add(
        "\"expire\":{\"name\":\""
            + StandIns.OBJECT
            + "\",\"stamp\":"
            + (System.currentTimeMillis() - 200)
            + "}");
    String within = null;
    for (int number = 1; within == null; number++) {
      client.get(number, "parts", 1500, 0);
      Command want = cache.next();
      within = want.field("within");
      want.ok("x");
      client.answer();
    }
    assertTrue(Long.parseLong(within) >= 198 && Long.parseLong(within) < 2000, within);
  }

  @Test
  void aJournalThatFallsSilentOrTalksNonsenseIsAskedAgainAndTheListStays() throws Exception {
    world.journal.instead = "{\"pos\":\"many\"}";
    world.journal.add("\"expire\":{\"set\":3,\"stamp\":1}");
    awaitPolls(3);
    world.journal.instead = "";
    awaitPolls(2);
    client = world.client();
    client.get(1, "parts", 1500, 0);
    cache.next().ok("still known");
    assertEquals("still known", text(client.answer()));
    world.journal.instead = null;
    awaitPoll("tail=3&");
  }

  @Test
  void aWholeListReplacesTheOldOneAndAnAddressBelongsToTheNewCache() throws Exception {
    client.get(1, "parts", 1500, 0);
    Command old = cache.next();
    old.ok("old");
    client.answer();
    world.journal.add(
        "\"hosts\":{\"reset\":true,\"instances\":[{\"instanceId\":\"c9\",\"hostPort\":\""
            + cache.address()
            + "\",\"zone\":\"z\",\"machineType\":\"box\",\"lifecycle\":\"ready\"}]}");
    awaitPoll("tail=3&");
    client.get(2, "parts", 1500, 0);
    Command fresh = cache.next();
    assertNotEquals(old.from(), fresh.from());
    assertNull(fresh.field("miss"), "the origin is not in the new list");
  }

  @Test
  void cachesThatComeAndGoLeaveNothingBehind() throws Exception {
    int here = 3; // Two caches and a client.
    for (int many = 0; many < 300; many++) {
      world.journal.host("x" + many, cache.address(), "box", "ready");
      world.journal.host("x" + many, "", "box", "gone");
    }
    awaitPoll("tail=602&");
    client.get(1, "parts", 1500, 0);
    cache.next().ok("still known");
    assertEquals("still known", text(client.answer()));
    for (int many = 0; many < 300 && world.gateway.resourceCount() > here; many++) {
      client.status();
      Thread.sleep(10);
    }
    assertEquals(here, world.gateway.resourceCount());
  }

  @Test
  void aNewConfigurationMovesTheJournalAndAFaultyOneChangesNothing() throws Exception {
    StandIns other = new StandIns();
    try {
      Process process = program(0);
      Path file = folder.resolve("config.json");
      String good = Files.readString(file);
      try (BufferedReader log = process.inputReader()) {
        awaitServing(log);
        for (String bad : List.of("{", good.replace("\"journal\":\"", "\"journal\":\"x"))) {
          Files.writeString(file, bad);
          hangUp(process);
          awaitLine(log, "SIGHUP: configuration unchanged: ");
        }
        Files.writeString(file, good.replace(world.journal.address(), other.journal.address()));
        hangUp(process);
        awaitLine(log, "journal polled at");
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
  void aNewConfigurationIsTakenAlsoWhereSighupIsIgnored() throws Exception {
    StandIns other = new StandIns();
    Path file = Path.of(world.environment(folder).get("PROXY_CONFIG"));
    ProcessBuilder builder =
        new ProcessBuilder(
                "sh",
                "-c",
                "trap '' HUP; exec \"$0\" -cp \"$1\" \"$2\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                System.getProperty("java.class.path"),
                ServeProcess.class.getName())
            .redirectErrorStream(true);
    builder
        .environment()
        .putAll(Map.of("PROXY_LISTEN", "127.0.0.1:0", "PROXY_CONFIG", file.toString()));
    Process process = builder.start();
    try (BufferedReader log = process.inputReader()) {
      awaitLine(log, "SIGHUP is ignored");
      awaitServing(log);
      hangUp(process);
      Files.writeString(
          file, Files.readString(file).replace(world.journal.address(), other.journal.address()));
      awaitLine(log, "journal polled at");
      assertNotNull(other.journal.polls.poll(10, TimeUnit.SECONDS));
    } finally {
      process.destroyForcibly();
      other.close();
    }
  }

  private static void hangUp(Process process) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private static void awaitLine(BufferedReader log, String part) throws Exception {
    for (String line = ""; !line.contains(part); line = log.readLine()) {
      assertNotNull(line);
    }
  }

  @Test
  void clientsAreLetInOnlyOnceAListIsKnown() throws Exception {
    world.close();
    world = new StandIns();
    world.start(GatewayOptions.read(world.environment(folder)), null);
    client = world.client();
    assertFalse(client.status().status());
    world.journal.host("c0", "127.0.0.1:1", "box", "ready");
    awaitPoll("tail=1&");
    assertTrue(client.status().status());
  }

  private void awaitPolls(int many) throws InterruptedException {
    for (int poll = 0; poll < many; poll++) {
      assertNotNull(world.journal.polls.poll(10, TimeUnit.SECONDS));
    }
  }

  private void awaitPoll(String start) throws InterruptedException {
    String poll = "";
    while (!poll.startsWith(start)) {
      poll = world.journal.polls.poll(10, TimeUnit.SECONDS);
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
  void aClientThatCantBeReadLosesItsConnectionAndNoOther(String hex) throws Exception {
    Client bad = world.client();
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
    assertTrue(client.status().status());
  }

  @Test
  void aNumberUsedTwiceWhileOpenClosesTheConnection() throws Exception {
    client.get(1, "parts", 1500, 0);
    cache.next();
    client.get(1, "parts", 1500, 0);
    assertEquals("Internal", client.answer().error());
    assertTrue(client.isClosed());
    assertEquals("never_mind", cache.next().word(0));
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
  void aFieldThatCantBeUsedIsNamed(String field, String value) throws Exception {
    Map<String, String> fields = new HashMap<>(Client.fields(1, 1500, 0));
    fields.remove(field);
    if (value != null) {
      fields.put(field, value);
    }
    client.send(Client.request(1, "parts", fields, null));
    Answer answer = client.answer();
    assertEquals("Internal", answer.error());
    assertTrue(answer.fields().get("why").startsWith(field + ": "), answer.fields().toString());
    Client other = world.client();
    other.get(1, "segments", 1500, 0);
    assertEquals("no delivery service segments", other.answer().fields().get("why"));
  }

  @Test
  void nothingIsReturnedToAClientThatBrokeTheProtocol() throws Exception {
    client.get(1, "parts", 5000, 0);
    Command want = cache.next();
    client.send(Client.request(2, "parts", Client.fields(1, 1500, 1), null));
    assertEquals("ref: open already", client.answer().fields().get("why"));
    assertEquals("Internal", client.answer().error());
    want.ok("too late");
    client.get(3, "parts", 1500, 0);
    assertEquals("Internal", client.answer().error());
    assertTrue(world.client().status().status());
  }

  @Test
  void moreThanAConnectionCarriesEndsItAndNothingOfItIsSent() throws Exception {
    ByteArrayOutputStream flood = new ByteArrayOutputStream();
    for (int number = 1; number <= 33; number++) {
      flood.writeBytes(
          Client.request(number, "parts", Client.fields(number, 1500, 0), new byte[0]));
    }
    client.send(flood.toByteArray());
    for (int number = 1; number <= 33; number++) {
      assertEquals("Internal", client.answer().error());
    }
    assertTrue(client.isClosed());
    Client good = world.client();
    good.get(99, "parts", 1500, 0);
    Command want = cache.next();
    while (!want.word(1).equals(String.format("%016x", 99))) {
      want = cache.next();
    }
    want.ok("another's");
    assertEquals("another's", text(good.answer()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 60})
  void aClientThatOwesAWholeMessageIsLetGoInTime(int bytes) throws Exception {
    Client owes = world.client();
    byte[] whole = Client.request(1, "parts", Client.fields(1, 1500, 0), null);
    owes.send(java.util.Arrays.copyOf(whole, bytes));
    long since = System.nanoTime();
    assertTrue(owes.isClosed());
    assertTrue(System.nanoTime() - since < 3_000_000_000L);
  }

  @Test
  void pastTheBoundOfDescriptorsTheConnectionOfLeastUseGoes() throws Exception {
    Client idle = world.client();
    idle.get(7, "parts", 1500, 0);
    cache.next().ok("a usual client");
    idle.answer();
    client.get(1, "parts", 9000, 0);
    Command want = cache.next();
    List<Client> held = new ArrayList<>();
    for (int many = 0; many < 80; many++) {
      held.add(world.client());
      assertTrue(held.get(many).status().status());
    }
    assertTrue(held.get(0).isClosed());
    assertTrue(held.get(79).status().status());
    Client silent = world.client();
    Client fresh = world.client();
    assertTrue(fresh.status().status());
    assertTrue(silent.isClosed());
    want.ok("still there");
    assertEquals("still there", text(client.answer()));
    assertTrue(
        idle.status().status(),
        "one that asks for GETs does not go for many that ask for the status");
  }

  @Test
  void aClientThatDoesNotReadLosesItsConnectionAndNoOther() throws Exception {
    Client deaf = world.client();
    byte[] part = new byte[240_000];
    world.threads.execute(
        () -> {
          try {
            while (true) {
              cache.commands.take().answer("ok", "res=h,entity=1,issued=2", part);
            }
          } catch (Exception e) {
            // The end of the test.
          }
        });
    List<Integer> open = new ArrayList<>();
    try {
      for (int number = 1; number < 5000; number++) {
        deaf.get(number, "parts", 1500, 0);
        client.get(10_000 + number, "parts", 1500, 0).answer();
        open.add(number);
      }
    } catch (java.net.SocketException e) {
      assertTrue(open.size() > 4);
      assertTrue(client.status().status());
      return;
    }
    assertFalse(true, "the deaf client still has its connection");
  }

  @Test
  void moreOpenGetsThanToldAreShed() throws Exception {
    Client other = world.client();
    for (int number = 1; number <= 48; number++) {
      (number <= 24 ? client : other).get(number, "parts", 5000, number);
      (number <= 24 ? client : other).status();
    }
    client.get(49, "parts", 5000, 0);
    for (Answer answer = client.answer(); answer.number() != 49; answer = client.answer()) {
      assertNotNull(answer.error());
    }
  }

  /** Decisions that fail on one object. */
  @Test
  void aFailureInTheDecisionsEndsThatGetAndNoOther() throws Exception {
    world.close();
    world = new StandIns();
    cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
    GatewayOptions options = GatewayOptions.read(world.environment(folder));
    RequestRouter control = new RequestRouter(options.routingConfig());
    world.start(
        options,
        (now, in, to) ->
            control.decide(
                now,
                events ->
                    in.replayTo(
                        new Ear(events) {
                          @Override
                          public void requestReceived(RequestDetails request) {
                            if (request.part() == 13) {
                              throw new IllegalStateException("part 13");
                            }
                            super.requestReceived(request);
                          }
                        }),
                to));
    client = world.client();
    client.get(1, "parts", 1500, 13).get(2, "parts", 1500, 2);
    assertEquals("Internal", client.answer().error());
    cache.next().ok("another");
    assertEquals("another", text(client.answer()));
  }

  // ---- Start and stop.

  @Test
  void clientsAreLetInAfterARehearsalOverTheGatewaysOwnAddress() throws Exception {
    Process process = program(0);
    try (BufferedReader log = process.inputReader()) {
      awaitLine(log, "warm-up: ");
      awaitServing(log);
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void aGatewayToldToStopAnswersAllItTookAndWhatStillComes() throws Exception {
    client.get(1, "parts", 2500, 0);
    Command taken = cache.next();
    var stopped = world.gateway.stop().toCompletionStage().toCompletableFuture();
    while (client.status().status()) {
      assertFalse(stopped.isDone());
    }
    Client late = world.client();
    late.get(2, "parts", 1500, 1);
    cache.next().ok("came late");
    assertEquals("came late", text(late.answer()));
    taken.ok("was taken");
    assertEquals("was taken", text(client.answer()));
    stopped.get(10, TimeUnit.SECONDS);
    assertEquals(Gateway.Phase.STOPPED, world.gateway.phase());
    assertTrue(client.isClosed());
  }

  @Test
  void whatIsStillOpenJustBeforeTheKillIsAnswered() throws Exception {
    client.get(1, "parts", 9000, 0);
    cache.next();
    long since = System.nanoTime();
    world.gateway.stop();
    assertEquals("Internal", client.answer().error());
    assertTrue(System.nanoTime() - since < 3_700_000_000L);
  }

  @Test
  void theProgramEndsAfterTheWordToStopWithAllAnswered() throws Exception {
    int port = freePort();
    Process process = program(port);
    try (BufferedReader log = process.inputReader()) {
      awaitServing(log);
      Client outside = world.client(port);
      assertTrue(outside.status().status());
      outside.get(1, "parts", 2500, 0);
      Command want = cache.next();
      hangUp(process); // A reload that is under way, and the same word once more, change nothing in
      // that.
      process.destroy();
      process.destroy();
      while (outside.status().status()) {
        assertTrue(process.isAlive());
      }
      want.ok("before the end");
      assertEquals("before the end", text(outside.answer()));
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void aKilledGatewayStartsAgainAtOnceUnderItsAddressFromNothing() throws Exception {
    int port = freePort();
    for (int start = 1; start <= 2; start++) {
      Process process = program(port);
      try (BufferedReader log = process.inputReader()) {
        awaitServing(log);
        Client outside = world.client(port);
        outside.get(start, "parts", 5000, 0);
        assertEquals("1", cache.next().field("prio"));
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "listen, no-address, PROXY_LISTEN no address:port: no-address",
    "listen, taken, PROXY_LISTEN: can't listen at",
    "known, asleep, configuration known entries hosts instances: field 'lifecycle' is of no known kind: asleep",
    "config, /nowhere.json, PROXY_CONFIG: /nowhere.json can't be read"
  })
  void whatKeepsAGatewayFromStartingIsOneMessage(String key, String value, String message)
      throws Exception {
    Path file = Path.of(world.environment(folder).get("PROXY_CONFIG"));
    if (key.equals("known")) {
      Files.writeString(file, Files.readString(file).replace("ready", value));
    }
    String listen =
        value.equals("taken") ? cache.address() : key.equals("listen") ? value : "127.0.0.1:0";
    Process process =
        program(
            Map.of(
                "PROXY_LISTEN",
                listen,
                "PROXY_CONFIG",
                key.equals("config") ? value : file.toString()));
    try (BufferedReader log = process.inputReader()) {
      List<String> said = log.lines().filter(line -> !line.contains(" INFO ")).toList();
      assertTrue(said.size() == 1 && said.get(0).startsWith(message), said.toString());
      assertEquals(1, process.waitFor());
    }
  }

  private Process program(int port) throws Exception {
    return program(
        Map.of(
            "PROXY_LISTEN",
            "127.0.0.1:" + port,
            "PROXY_CONFIG",
            world.environment(folder).get("PROXY_CONFIG")));
  }

  private static Process program(Map<String, String> environment) throws Exception {
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                ServeProcess.class.getName())
            .redirectErrorStream(true);
    builder.environment().putAll(environment);
    return builder.start();
  }

  private static void awaitServing(BufferedReader log) throws Exception {
    awaitLine(log, "-> SERVING");
  }

  private static int freePort() throws Exception {
    try (java.net.ServerSocket socket = new java.net.ServerSocket(0, 1, StandIns.LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  /** Passes on what it is told, if to anybody. */
  private static class Ear implements RoutingEventHandler {
    private final RoutingEventHandler to;

    Ear(RoutingEventHandler to) {
      this.to = to;
    }

    @Override
    public void endpointListStarted(EndpointListKind what) {
      to.endpointListStarted(what);
    }

    @Override
    public void endpointListed(EndpointDescription endpoint) {
      to.endpointListed(endpoint);
    }

    @Override
    public void endpointListCompleted() {
      to.endpointListCompleted();
    }

    @Override
    public void requestReceived(RequestDetails request) {
      to.requestReceived(request);
    }

    @Override
    public void responseStarted(long id, int copy) {
      to.responseStarted(id, copy);
    }

    @Override
    public void attemptEnded(AttemptResult result) {
      to.attemptEnded(result);
    }

    @Override
    public void clientDisconnected(long id) {
      to.clientDisconnected(id);
    }

    @Override
    public void objectPurged(long object, int group, long ago) {
      to.objectPurged(object, group, ago);
    }

    @Override
    public void timerFired(String handle) {
      to.timerFired(handle);
    }

    @Override
    public void gatewayShareChanged(int many, double part) {
      to.gatewayShareChanged(many, part);
    }

    @Override
    public void healthChecksDelegated(boolean forAll) {
      to.healthChecksDelegated(forAll);
    }

    @Override
    public void healthReported(int cache, boolean answers, long ago) {
      to.healthReported(cache, answers, ago);
    }

    @Override
    public void syntheticRequestReceived(RequestDetails request, int endpoint) {
      to.syntheticRequestReceived(request, endpoint);
    }
  }

  @Test
  void aConnectionWithAGetOpenAndHalfOfTheNextIsNotLetGoForNewOnes() throws Exception {
    client.get(1, "parts", 4000, 0);
    Command want = cache.next();
    byte[] next = Client.request(2, "parts", Client.fields(2, 4000, 1), new byte[300]);
    client.send(java.util.Arrays.copyOf(next, next.length - 200));
    for (int silent = 0; silent < 70; silent++) { // Its clients may hold 64 of 128 descriptors.
      world.client();
    }
    Thread.sleep(STANDS_MS / 2);
    want.ok("kept");
    assertEquals("kept", text(client.answer()));
  }

  // ---- News that is too old to decide by.

  /** Decisions in whose next round the loop stands still until it is let go. */
  private final class Standing implements RoutingStage.BatchRouter {
    private final RoutingStage.BatchRouter decisions;
    final CountDownLatch stands = new CountDownLatch(1), letGo = new CountDownLatch(1);
    volatile boolean armed;

    Standing(GatewayOptions options) {
      decisions = new RequestRouter(options.routingConfig())::decide;
    }

    @Override
    public void routeBatch(long now, RoutingEvents in, org.amberpath.routing.RoutingActions to) {
      decisions.routeBatch(now, in, to);
      if (armed) {
        armed = false;
        stands.countDown();
        try {
          letGo.await(PATIENCE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  private static final long PATIENCE_MS = 5000, STANDS_MS = 400;

  /** A second world, with two caches; its loop stands still from the next round on. */
  private Standing standing(StandIns other, Cache... caches) throws Exception {
    for (int at = 0; at < caches.length; at++) {
      other.journal.host("c" + at, caches[at].address(), "box", "ready");
    }
    GatewayOptions options = GatewayOptions.read(other.environment(folder));
    Standing decisions = new Standing(options);
    other.start(options, decisions);
    return decisions;
  }

  /**
   * GET 2 makes the loop stand; GET 3 and news come meanwhile, the news after the poll had ended if
   * that is said.
   */
  private static void whileItStands(
      StandIns other, Standing decisions, boolean pollEnded, Client till, Runnable news)
      throws Exception {
    decisions.armed = true;
    other.client().get(2, "parts", 4000, 0);
    assertTrue(decisions.stands.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
    till.get(3, "parts", 4000, 0);
    if (pollEnded) { // Its reply waits at the gateway; what comes after that waits at the journal.
      other.journal.add("\"expire\":{\"set\":200,\"stamp\":1}");
      Thread.sleep(STANDS_MS / 4);
    }
    news.run();
    Thread.sleep(STANDS_MS);
    decisions.letGo.countDown();
  }

  @ParameterizedTest
  @CsvSource({"draining, false", "gone, false", "draining, true", "gone, true"})
  void afterAStandstillNewsIsHeardBeforeGetsAreDecided(String state, boolean pollEnded)
      throws Exception {
    try (StandIns other = new StandIns()) {
      Cache[] caches = {other.cache(), other.cache()};
      Standing decisions = standing(other, caches);
      Client till = other.client();
      till.get(1, "parts", 4000, 0);
      Command first = null;
      for (int at = 0; first == null; at ^= 1) {
        first = caches[at].commands.poll(20, TimeUnit.MILLISECONDS);
      }
      int hashed = caches[0].server.getLocalPort() == first.from().getLocalPort() ? 0 : 1;
      first.ok("before");
      assertEquals("before", text(till.answer()));
      whileItStands(
          other,
          decisions,
          pollEnded,
          till,
          () -> other.journal.host("c" + hashed, caches[hashed].address(), "box", state));
      Command late = caches[1 - hashed].next();
      assertEquals("0000000000000003", late.word(1));
      late.ok("after");
      assertEquals("after", text(till.answer()));
      assertTrue(
          caches[hashed].commands.stream()
              .noneMatch(one -> one.word(1).equals("0000000000000003")));
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void afterAStandstillPurgesAreHeardBeforeGetsAreDecided(boolean pollEnded) throws Exception {
    try (StandIns other = new StandIns()) {
      Cache only = other.cache();
      Standing decisions = standing(other, only);
      whileItStands(
          other,
          decisions,
          pollEnded,
          other.client(),
          () ->
              other.journal.add(
                  "\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}"));
      assertNotNull(only.next().field("within"), "it waited for its connection");
      assertNotNull(only.next().field("within"));
    }
  }

  @Test
  void aGetThatComesBeforeTheFirstNewsIsDecidedAfterIt() throws Exception {
    try (StandIns other = new StandIns()) {
      Cache only = other.cache();
      other.journal.host("c0", only.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      other.journal.add("\"expire\":{\"set\":17,\"stamp\":" + System.currentTimeMillis() + "}");
      other.journal.instead = ""; // The journal does not reply yet.
      other.gateway = new Gateway(other.vertx, options);
      var started = other.gateway.start();
      assertNotNull(other.journal.polls.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
      Client early = other.client().get(1, "parts", 4000, 0);
      assertNull(only.commands.poll(STANDS_MS / 2, TimeUnit.MILLISECONDS));
      assertFalse(early.socket.getInputStream().available() > 0);
      other.journal.instead = null;
      assertNotNull(only.next().field("within"));
      started.toCompletionStage().toCompletableFuture().get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void aGatewayWhoseJournalIsGoneAtTheStartServesAllTheSame() throws Exception {
    try (StandIns other = new StandIns()) {
      Cache only = other.cache();
      other.journal.host("c0", only.address(), "box", "ready");
      GatewayOptions options = GatewayOptions.read(other.environment(folder));
      other.journal.server.stop(0);
      other.start(options, null);
      Client till = other.client();
      till.get(1, "parts", 1500, 0);
      only.next().ok("old news");
      assertEquals("old news", text(till.answer()));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"set\":17", "\"name\":\"7f3a9c21e0b4d655\""})
  void whatWaitsForAConnectionWhenItsObjectIsPurgedIsNeverSent(String what) throws Exception {
    try (StandIns other = new StandIns()) {
      other.journal.host("c0", other.fullAddress(), "box", "ready");
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
                          (proxy, event, told) -> {
                            if (event.getName().equals("requestReceived")) {
                              to.sendAttempt(
                                  new AttemptCommand(
                                      ((RequestDetails) told[0]).id(), 0, 0, 0, 0, 0, 0));
                            } else if (event.getName().equals("attemptEnded")) {
                              outcomes.add(((AttemptResult) told[0]).outcome());
                            }
                            return null;
                          })));
      other.client().get(1, "parts", 4000, 0);
      Thread.sleep(STANDS_MS / 4);
      other.journal.add("\"expire\":{" + what + ",\"stamp\":" + System.currentTimeMillis() + "}");
      assertEquals(AttemptOutcome.WITHDRAWN, outcomes.poll(PATIENCE_MS, TimeUnit.MILLISECONDS));
    }
  }
}
