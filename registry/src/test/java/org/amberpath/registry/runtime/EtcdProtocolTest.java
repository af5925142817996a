package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.MultiMap;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the encoding of etcd requests, and which responses are decoded or rejected. */
class EtcdProtocolTest {
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

  private final EtcdProtocol etcd = new EtcdProtocol("p/");

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] bytes(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  @Property(tries = 500)
  void anyLineIsDecodedOrInvalid(@ForAll byte[] line) {
    try {
      new EtcdProtocol("p/").decodeFrame(line);
    } catch (InvalidDocumentException e) {
      assertTrue(e.getMessage().length() < 200);
    }
  }

  @Test
  void rangeIsEncodedAndDecodedAsPublished() {
    RegistryProtocol.Request request = etcd.listRequest(7, "p/caches/a", 5, 100);
    assertEquals("/v3/kv/range", request.uri());
    assertEquals(
        "{'key':'"
            + base64("p/caches/a\0")
            + "','range_end':'"
            + base64("p0")
            + "','limit':'100',"
            + "'revision':'7','min_mod_revision':'5'}",
        text(request.body()).replace('"', '\''));
    RegistryPage page =
        etcd.decodePage(
            200,
            NONE,
            bytes(
                "{'header':{'cluster_id':'12','revision':'40'},'kvs':[{'key':'"
                    + base64("p/caches/c1")
                    + "','create_revision':'3','mod_revision':'9','value':'"
                    + Base64.getEncoder().encodeToString(RecordCodec.encode(ENDPOINT))
                    + "'}],'more':true,'count':'2'}"));
    assertEquals(List.of(new RegistryEntry("p/caches/c1", ENDPOINT, 3, 9)), page.entries());
    assertEquals(40, page.header().revision());
    assertTrue(page.hasMore());
    assertEquals(2, page.totalCount());
  }

  @Test
  void watchFramesAreDecodedAsPublished() {
    String header = "'header':{'cluster_id':'12','revision':'40'}";
    assertInstanceOf(
        RegistryProtocol.Frame.Opened.class,
        etcd.decodeFrame(bytes("{'result':{" + header + ",'created':true}}")));
    assertInstanceOf(
        RegistryProtocol.Frame.Compacted.class,
        etcd.decodeFrame(
            bytes("{'result':{" + header + ",'canceled':true,'compact_revision':'33'}}")));
    assertEquals(
        new RegistryProtocol.Frame.Ended(RegistryFailure.UNAUTHORISED),
        etcd.decodeFrame(bytes("{'error':{'grpc_code':16,'message':'x'}}")));
    RegistryProtocol.Frame.Events events =
        (RegistryProtocol.Frame.Events)
            etcd.decodeFrame(
                bytes(
                    "{'result':{"
                        + header
                        + ",'fragment':true,'events':["
                        + "{'type':'DELETE','kv':{'key':'"
                        + base64("p/caches/c1")
                        + "','mod_revision':'40'}}]}}"));
    assertTrue(events.partial());
    assertNull(events.events().get(0).entry());
    assertEquals(40, events.events().get(0).revision());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{'header':{'revision':'-4'}}",
        "{'header':{'revision':'4x'}}",
        "{'kvs':[]}",
        "{'header':{'revision':'4'},'kvs':[{'key':'!!'}]}",
        "{'header':{'revision':'4'},'kvs':[{'key':'cQ=='}]}"
      })
  void pageThatIsNotAsPublishedIsInvalid(String body) {
    assertThrows(InvalidDocumentException.class, () -> etcd.decodePage(200, NONE, bytes(body)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'header':{'revision':'-4'}} | field 'revision' is not a 64-bit integer of at least 0",
        "{'header':{'revision':'4'},'kvs':[{'key':'cQ=='}]} "
            + "| field 'key' is not under the prefix p/",
        "{ | registry: the response is not valid JSON",
      })
  void invalidPageGivesTheReason(String body, String reason) {
    String message =
        assertThrows(InvalidDocumentException.class, () -> etcd.decodePage(200, NONE, bytes(body)))
            .getMessage();
    assertTrue(message.endsWith(reason), message);
  }

  @ParameterizedTest
  @CsvSource({
    "401,0,UNAUTHORISED",
    "403,7,UNAUTHORISED",
    "429,8,THROTTLED",
    "503,14,UNAVAILABLE",
    "400,16,UNAUTHORISED",
    "404,5,UNREADABLE"
  })
  void statusAndCodeAreMappedToAFailure(int status, int code, RegistryFailure failure) {
    assertEquals(Optional.of(failure), etcd.failure(status, bytes("{'code':" + code + "}")));
    assertTrue(etcd.isCompacted(400, bytes("{'code':11,'message':'compacted'}")));
  }

  @Test
  void leaseRenewalOfAnExpiredLeaseIsFalse() {
    assertEquals("/v3/lease/keepalive", EtcdLeases.renewalRequest(7).uri());
    assertEquals("{'ID':'7'}", text(EtcdLeases.renewalRequest(7).body()).replace('"', '\''));
    assertTrue(EtcdLeases.decodeRenewal(bytes("{'result':{'ID':'7','TTL':'5'}}")));
    assertEquals(false, EtcdLeases.decodeRenewal(bytes("{'result':{'ID':'7'}}")));
  }
}
