package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.MultiMap;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests the encoding of Consul requests, and which responses are decoded or rejected. */
class ConsulProtocolTest {
  private static final MultiMap NONE = MultiMap.caseInsensitiveMultiMap();
  private static final RegistryRecord.Cache ENDPOINT =
      new RegistryRecord.Cache(
          "c1",
          "127.0.0.1:7001",
          "z",
          "box",
          OptionalInt.of(3),
          EndpointState.DRAINING,
          OptionalDouble.of(4),
          1_700_000_000_000L);

  private final ConsulProtocol consul = new ConsulProtocol("p/", 1000);

  private static byte[] bytes(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void blockingReadIsEncodedAndDecodedAsPublished() {
    assertEquals(
        "/v1/kv/p/?recurse=true&consistent=true&index=40&wait=1000ms",
        consul.watchRequest(41).uri());
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("X-Consul-Index", "41");
    RegistryPage page =
        consul.decodePage(
            200,
            headers,
            bytes(
                "[{'Key':'p/caches/c1','Value':'"
                    + Base64.getEncoder().encodeToString(RecordCodec.encode(ENDPOINT))
                    + "','CreateIndex':3,'ModifyIndex':9}]"));
    assertEquals(List.of(new RegistryEntry("p/caches/c1", ENDPOINT, 3, 9)), page.entries());
    assertTrue(page.totalCount() < 0);
    assertEquals(List.of(), consul.decodePage(404, headers, new byte[0]).entries());
    assertEquals(
        "registry: header X-Consul-Index is missing or not an integer above 0",
        assertThrows(
                InvalidDocumentException.class, () -> consul.decodePage(404, NONE, new byte[0]))
            .getMessage());
  }

  @Test
  void keyOutsideThePrefixIsInvalid() {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("X-Consul-Index", "41");
    byte[] body = bytes("[{'Key':'q/caches/c1','CreateIndex':3,'ModifyIndex':9}]");
    String message =
        assertThrows(InvalidDocumentException.class, () -> consul.decodePage(200, headers, body))
            .getMessage();
    assertTrue(message.endsWith("field 'Key' is not under the prefix p/"), message);
  }

  @Test
  void watchHasNoFrames() {
    assertEquals(
        "registry: a Consul response has no frames to decode",
        assertThrows(InvalidDocumentException.class, () -> consul.decodeFrame(new byte[0]))
            .getMessage());
  }
}
