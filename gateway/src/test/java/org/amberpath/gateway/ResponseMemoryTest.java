package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.testsupport.TimedCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The memory of responses that clients read slowly is bounded, and each request is answered. */
@Timeout(30)
class ResponseMemoryTest extends GatewayFixture {
  /** The most that a connection carries; their responses exceed the memory for them. */
  private static final int PIPELINED_REQUESTS = 32;

  private static final int RECEIVE_BUFFER_BYTES = 65_536;

  /** Guards against closing the connection of a client that reads, with its requests unanswered. */
  @Test
  void eachPipelinedRequestOfAClientThatReadsSlowlyIsAnswered() throws Exception {
    byte[] part = new byte[ClientConnection.MAX_BODY_BYTES];
    List<TimedCommand> commands =
        testbed.handleCommands(
            cache, command -> command.reply("ok", "res=h,entity=1,issued=2", part));
    testbed.handleCommands(
        testbed.origin, command -> command.reply("ok", "res=o,entity=1,issued=2", part));
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    for (int number = 1; number <= PIPELINED_REQUESTS; number++) {
      requests.writeBytes(
          TestClient.encodeRequest(
              number, "parts", TestClient.requestFields(number, 4000, number), new byte[0]));
    }
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(GatewayTestbed.LOOPBACK, testbed.gateway.port()));

    try (TestClient slowClient = new TestClient(socket)) {
      slowClient.send(requests.toByteArray());
      Conditions.await(() -> !commands.isEmpty(), "the requests are forwarded");
      Thread.sleep(STALL_MILLIS); // The client reads nothing while the responses arrive.
      Set<Long> answered = new TreeSet<>();
      for (int number = 1; number <= PIPELINED_REQUESTS; number++) {
        answered.add(slowClient.receive().messageId());
      }
      assertEquals(PIPELINED_REQUESTS, answered.size());
      assertTrue(slowClient.requestStatus().isReady());
    }
  }
}
