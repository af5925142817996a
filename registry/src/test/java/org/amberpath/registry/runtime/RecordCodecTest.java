package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which values are decoded, and that invalid ones become unreadable records without an
 * exception.
 */
class RecordCodecTest {
  private static final RegistryRecord.Cache ENDPOINT =
      new RegistryRecord.Cache(
          "c1", "127.0.0.1:7001", "z", "box", 3, EndpointState.DRAINING, 4, 1_700_000_000_000L);

  private static byte[] bytes(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void recordIsDecodedAsItWasEncoded() {
    assertEquals(ENDPOINT, RecordCodec.decode("caches/c1", RecordCodec.encode(ENDPOINT)));
    RegistryRecord.Purge purge =
        new RegistryRecord.Purge(0x7f3a9c21e0b4d655L, 0, 1_700_000_000_000L);
    assertEquals(purge, RecordCodec.decode("purges/1", RecordCodec.encode(purge)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{'v':2}",
        "{'v':1,'address':'host:1','zone':'z','kind':'k','state':'ready'}",
        "{'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'gone'}",
        "{'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'ready','weight':0}",
        "{'v':1,'address':'127.0.0.1:1','zone':'','kind':'k','state':'ready'}",
        "{'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'ready','cell':99999999999}"
      })
  void malformedValueIsUnreadable(String value) {
    assertInstanceOf(
        RegistryRecord.Unreadable.class, RecordCodec.decode("caches/c1", bytes(value)));
  }

  @Property(tries = 500)
  void anyValueIsDecodedWithoutAnException(@ForAll byte[] value) {
    RecordCodec.decode("caches/c1", value);
    RecordCodec.decode("purges/1", value);
  }
}
