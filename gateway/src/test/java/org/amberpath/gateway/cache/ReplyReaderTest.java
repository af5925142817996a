package org.amberpath.gateway.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
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

  @Test
  void warmUpParsesWhatItEncodes() {
    assertEquals(20, ReplyWarmUp.play(20));
  }

  private CacheCommand newCommand() {
    return new CacheCommand(
        new byte[16], new byte[0], new byte[0], new byte[0], 2_000_000_000L, List.of()) {
      @Override
      protected void ended(AttemptOutcome outcome, ResponseDetail note, Buffer body) {
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
            new PoolBounds(() -> 1, 100, 1, 1, 100),
            new ConnectionBudget(1, () -> {}),
            new CachePool.Hooks(() -> 0, () -> true, (from, reason) -> {}));
    CacheCommand drained = newCommand();
    pool.send(drained);
    pool.send(newCommand());
    pool.fail(one -> one == drained, AttemptOutcome.NOT_SENT);
    assertEquals(List.of(AttemptOutcome.NOT_SENT), outcomes);
    connection.fail("refused");
    assertEquals(List.of(AttemptOutcome.NOT_SENT, AttemptOutcome.CONNECT_FAILED), outcomes);
  }
}
