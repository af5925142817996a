package org.amberpath.gateway.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of RESP from caches, and commands that wait for a connection to a draining cache. */
class ReplyReaderTest implements ReplyReader.Sink {
  private final List<String> replies = new ArrayList<>();
  private final List<String> protocolErrors = new ArrayList<>();
  private final List<AttemptOutcome> outcomes = new ArrayList<>();
  private final ReplyReader reader = new ReplyReader(100, this);

  @Override
  public void onReply(List<Buffer> elements) {
    replies.add(
        String.join(
            "|", elements.stream().map(one -> one.toString(StandardCharsets.ISO_8859_1)).toList()));
  }

  @Override
  public void onProtocolError(String reason) {
    protocolErrors.add(reason);
  }

  private void read(String text, int segmentBytes) {
    byte[] stream = text.getBytes(StandardCharsets.ISO_8859_1);
    for (int offset = 0; offset < stream.length; offset += segmentBytes) {
      reader.handle(
          Buffer.buffer(
              Arrays.copyOfRange(stream, offset, Math.min(stream.length, offset + segmentBytes))));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 1000})
  void repliesAreCompleteHoweverTheyAreSplit(int segmentBytes) {
    String first = "*4\r\n$2\r\nid\r\n$2\r\nok\r\n$5\r\nres=h\r\n$7\r\na\r\n$0\r\n\r\n";
    String second = "*2\r\n$2\r\nid\r\n$0\r\n\r\n";
    read(first + second, segmentBytes);
    assertEquals(List.of("id|ok|res=h|a\r\n$0\r\n", "id|"), replies);
    assertTrue(protocolErrors.isEmpty());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "+OK\r\n",
        "*0\r\n",
        "*-1\r\n",
        "*99\r\n",
        "*x\r\n",
        "*1\r\n$101\r\n",
        "*1\r\n$-1\r\n",
        "*1\r\n:1\r\n",
        "*1\r\n$1\r\nabc",
        "*"
      })
  void anythingButAnArrayOfBulkStringsIsAProtocolError(String text) {
    read(text + (text.equals("*") ? "1".repeat(200) : ""), 3);
    read("*1\r\n$2\r\nok\r\n", 100);
    assertEquals(1, protocolErrors.size());
    assertTrue(replies.isEmpty());
  }

  private static Stream<Arguments> invalidStreams() {
    return Stream.of(
        Arguments.of(
            "+OK\r\n", "reply: array header: got \"+OK\", expected '*' and a length from 1 to 16"),
        Arguments.of(
            "*0\r\n", "reply: array header: got \"*0\", expected '*' and a length from 1 to 16"),
        Arguments.of(
            "\u0001" + "x".repeat(27) + "\r\n",
            "reply: array header: got \"?"
                + "x".repeat(23)
                + "...\" (28 bytes), expected '*' and a length from 1 to 16"),
        Arguments.of(
            "*2\r\n$2\r\nid\r\n$101\r\n",
            "reply: element 2 of 2: header: got \"$101\", expected '$' and a length from 0 to 100"),
        Arguments.of(
            "*3\r\n$1\r\nabc", "reply: element 1 of 3: got \"bc\" after 1 bytes, expected CR LF"),
        Arguments.of(
            "*1\r\n$" + "1".repeat(50),
            "reply: element 1 of 1: header: got no line end within 32 bytes, expected a type and a"
                + " length (The current record is too long)"));
  }

  @ParameterizedTest
  @MethodSource("invalidStreams")
  void protocolErrorNamesTheElementWithWhatWasFoundAndExpected(String text, String message) {
    read(text, text.length());
    assertEquals(List.of(message), protocolErrors);
  }

  private static final String STATUSES = ", expected ok, current, nothing, refused, error or stale";

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "id,ok,res=h|reply: got an array of 3, expected 4 elements: request id, status, fields,"
            + " body",
        "id,no\u0007,res=h,|reply: status: got \"no?\"" + STATUSES,
        "id,ok,issued=12x,|reply: status ok: got entity=\"\" issued=\"12x\", expected an entity tag"
            + " and a decimal time",
        "id,current,entity=7f;issued=1,|reply: status current: got entity=\"7f\", expected the tag"
            + " of the client's copy, 9b1f03aa5c7e2d41",
      })
  void invalidReplyNamesTheFieldWithWhatWasFoundAndExpected(String elements, String message) {
    List<Buffer> reply =
        Arrays.stream(elements.split(",", -1))
            .map(element -> Buffer.buffer(element.replace(';', ',')))
            .toList();
    CacheCommand command = newCommand("9b1f03aa5c7e2d41");
    InvalidReplyException failure =
        assertThrows(InvalidReplyException.class, () -> CacheReply.decode(reply, command));
    assertEquals(message, failure.getMessage());
  }

  @Test
  void confirmationOfACopyThatTheClientDoesNotHoldIsInvalid() {
    List<Buffer> reply =
        Stream.of("id", "current", "entity=7f,issued=1", "").map(Buffer::buffer).toList();
    InvalidReplyException failure =
        assertThrows(InvalidReplyException.class, () -> CacheReply.decode(reply, newCommand()));
    assertEquals(
        "reply: status current: got entity=\"7f\", expected the tag of the client's copy, which has"
            + " none",
        failure.getMessage());
  }

  @Test
  void warmUpParsesWhatItEncodes() {
    assertEquals(20, ReplyWarmUp.run(20));
  }

  private CacheCommand newCommand() {
    return newCommand("");
  }

  private CacheCommand newCommand(String knownTag) {
    return new CacheCommand(
        new byte[16],
        new byte[0],
        knownTag.getBytes(StandardCharsets.ISO_8859_1),
        new byte[0],
        2_000_000_000L,
        List.of()) {
      @Override
      protected void onEnded(AttemptOutcome outcome, ResponseDetail note, Buffer body) {
        outcomes.add(outcome);
      }
    };
  }

  @Test
  void commandWaitingForAConnectionToADrainingCacheIsNeverSent() {
    Promise<NetSocket> connection = Promise.promise();
    NetClient client =
        (NetClient)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {NetClient.class},
                (proxy, method, arguments) -> connection.future());
    CachePool pool =
        new CachePool(
            "c0",
            SocketAddress.inetSocketAddress(1, "127.0.0.1"),
            client,
            new PoolBounds(() -> 1, 100, 1, 1, 100, new ReceiveBufferAccounting(Long.MAX_VALUE)),
            new ConnectionBudget(1, () -> {}),
            new CachePool.Hooks(() -> 0, () -> true, (from, reason) -> {}));
    CacheCommand drained = newCommand();
    pool.send(drained);
    pool.send(newCommand());
    pool.failWaiting(one -> one == drained, AttemptOutcome.NOT_SENT);
    assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    connection.fail("refused");
    assertEquals(List.of(AttemptOutcome.NOT_SENT, AttemptOutcome.CONNECT_FAILED), outcomes);
  }
}
