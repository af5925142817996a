package org.amberpath.gateway.testsupport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A testbed whose endpoints handle commands by themselves, and requests that have to be served. */
public abstract class FaultFixture {
  /** A deadline with which a request is served also where a retry is needed. */
  protected static final int LONG_MILLIS = 4000;

  /** Up to so long after its deadline a request only earns nothing; later it is lost. */
  protected static final long LATE_MILLIS = 500;

  protected static final int MAX_ATTEMPTS = 3;

  protected static final long BETWEEN_REQUESTS_MILLIS = 10;

  protected static final int PARTS = 16;

  @TempDir protected Path folder;

  protected GatewayTestbed testbed;

  protected int number;

  @BeforeEach
  protected void start() throws Exception {
    testbed = new GatewayTestbed();
  }

  @AfterEach
  protected void end() throws Exception {
    testbed.close();
  }

  protected static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  protected static String requestId(int ofNumber) {
    return String.format("%016x", ofNumber);
  }

  /** The wants among what came to caches, of one request. */
  protected static List<TimedCommand> attemptsOf(List<List<TimedCommand>> seen, int ofNumber) {
    return seen.stream()
        .flatMap(List::stream)
        .filter(
            one ->
                one.command().element(0).equals("want")
                    && one.command().element(1).equals(requestId(ofNumber)))
        .toList();
  }

  protected List<List<TimedCommand>> handleAll(List<StubCache> caches, CommandHandler reaction) {
    List<List<TimedCommand>> seen = new ArrayList<>();
    for (StubCache cache : caches) {
      seen.add(testbed.handleCommands(cache, reaction));
    }
    return seen;
  }

  protected static void serve(ReceivedCommand command) throws Exception {
    command.replyOk("part " + command.field("seg"));
  }

  protected static void hang(ReceivedCommand command) {}

  /** One more request, which has to be served with the bytes of its part. */
  protected void requestServed(TestClient client) throws Exception {
    int part = ++number % PARTS;
    client.sendRequest(number, "parts", LONG_MILLIS, part);
    ClientAnswer answer = client.receive();
    assertEquals(null, answer.error(), "request " + number);
    assertEquals(
        "part " + part, new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8));
  }

  /** Asks for all parts in turn until the condition holds; every request has to be served. */
  protected void requestUntil(TestClient client, BooleanSupplier done) throws Exception {
    long since = System.nanoTime();
    while (!done.getAsBoolean()) {
      assertTrue(
          millisSince(since) < 2 * TimeUnit.SECONDS.toMillis(GatewayTestbed.TIMEOUT_SECONDS),
          "it never comes");
      requestServed(client);
      Thread.sleep(BETWEEN_REQUESTS_MILLIS); // Requests at a rate: the passing of time is tested.
    }
  }

  protected void requestFor(TestClient client, long millis) throws Exception {
    long since = System.nanoTime();
    requestUntil(client, () -> millisSince(since) > millis);
  }

  /**
   * Whatever else came for the connection's requests, nothing is left of it: the next answer is the
   * status.
   */
  protected static void assertNoFurtherAnswer(TestClient client) throws Exception {
    assertEquals(9999, client.requestStatus().messageId());
  }

  protected static CommandHandler failing(String how) {
    return switch (how) {
      case "close" -> command -> command.socket().close();
      case "reset" -> ReceivedCommand::reset;
      case "shut" -> command -> command.socket().shutdownOutput();
      case "serve" -> FaultFixture::serve;
      default -> command -> command.reply(how, "-", new byte[0]);
    };
  }
}
