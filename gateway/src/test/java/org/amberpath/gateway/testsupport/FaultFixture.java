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

/**
 * Base class of fault tests: a testbed whose caches answer commands on background threads, and
 * helpers that send requests of which each must succeed.
 */
public abstract class FaultFixture {
  /** A request timeout that leaves time for retries. */
  protected static final int REQUEST_TIMEOUT_MILLIS = 4000;

  /**
   * How long after the request's deadline an answer counts as late, without credit. After that the
   * request counts as lost.
   */
  protected static final long MAX_LATENESS_MILLIS = 500;

  protected static final int MAX_ATTEMPTS = 3;

  protected static final long REQUEST_INTERVAL_MILLIS = 10;

  protected static final int PART_COUNT = 16;

  @TempDir protected Path folder;

  protected GatewayTestbed testbed;

  protected int lastRequestNumber;

  @BeforeEach
  protected void start() throws Exception {
    testbed = new GatewayTestbed();
  }

  @AfterEach
  protected void end() throws Exception {
    testbed.close();
  }

  protected static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  protected static String requestId(int requestNumber) {
    return String.format("%016x", requestNumber);
  }

  /** Returns the {@code want} commands of one request among the commands that caches received. */
  protected static List<TimedCommand> attemptsOf(
      List<List<TimedCommand>> received, int requestNumber) {
    return received.stream()
        .flatMap(List::stream)
        .filter(
            command ->
                command.command().element(0).equals("want")
                    && command.command().element(1).equals(requestId(requestNumber)))
        .toList();
  }

  protected List<List<TimedCommand>> handleAll(List<StubCache> caches, CommandHandler handler) {
    List<List<TimedCommand>> received = new ArrayList<>();
    for (StubCache cache : caches) {
      received.add(testbed.handleCommands(cache, handler));
    }
    return received;
  }

  protected static void serve(ReceivedCommand command) throws Exception {
    command.replyOk("part " + command.field("seg"));
  }

  protected static void hang(ReceivedCommand command) {}

  /** Sends the next request and asserts that the answer is the body of the requested part. */
  protected void assertRequestServed(TestClient client) throws Exception {
    int part = ++lastRequestNumber % PART_COUNT;
    client.sendRequest(lastRequestNumber, "parts", REQUEST_TIMEOUT_MILLIS, part);
    ClientAnswer answer = client.receive();
    assertEquals(null, answer.error(), "request " + lastRequestNumber);
    assertEquals(
        "part " + part, new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8));
  }

  /**
   * Requests all parts in turn until the condition holds; asserts that every request is served and
   * that the condition holds within 20 s.
   */
  protected void requestUntil(TestClient client, BooleanSupplier condition) throws Exception {
    long startNanos = System.nanoTime();
    while (!condition.getAsBoolean()) {
      assertTrue(
          millisSince(startNanos) < 2 * TimeUnit.SECONDS.toMillis(GatewayTestbed.TIMEOUT_SECONDS),
          "the awaited condition did not hold in time");
      assertRequestServed(client);
      Thread.sleep(REQUEST_INTERVAL_MILLIS); // Limits the request rate.
    }
  }

  protected void requestFor(TestClient client, long millis) throws Exception {
    long startNanos = System.nanoTime();
    requestUntil(client, () -> millisSince(startNanos) > millis);
  }

  /**
   * Asserts that no further answer to an earlier request is pending on the connection: the next
   * answer must be the one to a status request.
   */
  protected static void assertNoFurtherAnswer(TestClient client) throws Exception {
    assertEquals(9999, client.requestStatus().messageId());
  }

  protected static CommandHandler faultHandler(String fault) {
    return switch (fault) {
      case "close" -> command -> command.socket().close();
      case "reset" -> ReceivedCommand::reset;
      case "shut" -> command -> command.socket().shutdownOutput();
      case "serve" -> FaultFixture::serve;
      default -> command -> command.reply(fault, "-", new byte[0]);
    };
  }
}
