package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.StandIns.Cache;
import org.amberpath.gateway.StandIns.Client;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.RequestDetails;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** No attempt begins for a client that closed or cancelled while the event loop was late. */
@Timeout(60)
class ClientGoneTest {
  private static final long GONE_MS = 300, PATIENCE_S = 20;
  private static final int PIPELINE = 32;

  @TempDir private Path folder;
  private StandIns world;
  private Cache cache;

  @BeforeEach
  void start() throws Exception {
    world = new StandIns();
    cache = world.cache();
    world.journal.host("c0", cache.address(), "box", "ready");
  }

  @AfterEach
  void end() throws Exception {
    world.close();
  }

  /** Settings under which news of caches may be far older than a client's close. */
  private GatewayOptions options() throws IOException {
    return GatewayOptions.read(
        world.environment(
            folder,
            "\"guarantees\":{",
            "\"guarantees\":{\"drain-grace-s\":20,",
            "\"family-info\":{",
            "\"family-info\":{\"heed-within-s\":20,"));
  }

  @ParameterizedTest
  @CsvSource({"close, 0", "reset, 0", "withdraw, 0", "close, 60000", "withdraw, 60000"})
  void afterEventLoopLagNothingOfAPipelineIsSentThatItsClientHasLeft(String how, int bytes)
      throws Exception {
    PausingDecisions decisions =
        new PausingDecisions(
            new org.amberpath.routing.RequestRouter(options().routingConfig())::decide);
    world.start(options(), decisions);
    Client client = world.client();
    assertTrue(client.status().status());
    decisions.pause(world.client());
    ByteArrayOutputStream pipeline = new ByteArrayOutputStream();
    for (int number = 1; number <= PIPELINE; number++) {
      pipeline.writeBytes(
          Client.request(number, "parts", Client.fields(number, 15_000, number), new byte[bytes]));
    }
    for (int number = 1; number <= PIPELINE && how.equals("withdraw"); number++) {
      pipeline.writeBytes(Client.withdrawal(number));
    }
    var written =
        world.threads.submit(
            () -> {
              client.send(pipeline.toByteArray());
              if (how.equals("reset")) {
                client.socket.setSoLinger(true, 0);
              }
              if (!how.equals("withdraw")) {
                client.close();
              }
              return null;
            });
    Thread.sleep(GONE_MS);
    decisions.resume();
    written.get(PATIENCE_S, TimeUnit.SECONDS);
    Set<String> sent = ConcurrentHashMap.newKeySet();
    world.threads.submit(
        () -> {
          while (true) {
            StandIns.Command command = cache.commands.take();
            sent.add(command.word(1));
            command.ok("part");
          }
        });
    Client last =
        world
            .client(); // What it asks for is sent after all that came before it, unless it is shed.
    int number = PIPELINE;
    do {
      last.get(++number, "parts", 15_000, 0);
    } while (last.answer().error() != null);
    for (int left = 1; left <= PIPELINE; left++) {
      assertFalse(sent.contains(String.format("%016x", left)), "sent " + sent);
    }
  }

  /**
   * In a long round the client of the last attempt may leave: the first attempt, and a retry after
   * its end.
   */
  @ParameterizedTest
  @ValueSource(strings = {"requestReceived", "attemptEnded"})
  void anAttemptAtTheEndOfALongRoundWaitsUntilTheSocketsAreRead(String event) throws Exception {
    BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    PausingDecisions pause = new PausingDecisions(null);
    world.start(
        options(),
        (now, in, to) ->
            in.replayTo(
                PausingDecisions.events(
                    (name, told) -> {
                      if (name.equals("attemptEnded")) {
                        outcomes.add(((AttemptResult) told[0]).outcome());
                      }
                      boolean begins =
                          name.equals("requestReceived")
                              || (name.equals("attemptEnded")
                                  && ((AttemptResult) told[0]).attempt() == 0);
                      if (name.equals(event) && begins) {
                        pause.stand();
                      }
                      if (begins) {
                        long id =
                            name.equals("requestReceived")
                                ? ((RequestDetails) told[0]).id()
                                : ((AttemptResult) told[0]).requestId();
                        to.sendAttempt(new AttemptCommand(id, 0, 0, 0, 0, 0, 0));
                      }
                    })));
    Client client = world.client();
    client.get(1, "parts", 15_000, 0);
    if (event.equals("attemptEnded")) {
      cache.next().answer("refused", "-", new byte[0]);
    }
    pause.awaitStanding();
    client.close();
    Thread.sleep(GONE_MS);
    pause.resume();
    assertEquals(
        event.equals("requestReceived") ? AttemptOutcome.NOT_SENT : AttemptOutcome.REJECTED,
        outcomes.poll(PATIENCE_S, TimeUnit.SECONDS));
    assertEquals(AttemptOutcome.NOT_SENT, outcomes.poll(PATIENCE_S, TimeUnit.SECONDS));
    assertNull(cache.commands.poll());
  }
}
