package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the commands that caches get for requests, and the responses that clients get. */
@Timeout(30)
class RequestForwardingTest extends GatewayFixture {
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
    int leftMillis = Integer.parseInt(command.field("ms"));
    assertTrue(leftMillis > 1000 && leftMillis <= 1500, command.element(2));
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
    client.sendRequestsTogether("parts", 1500, 1500);
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
    for (int index = 0; index < first.length - 1; index++) {
      client.send(new byte[] {first[index]});
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
}
