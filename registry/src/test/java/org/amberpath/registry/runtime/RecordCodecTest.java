package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which values are decoded, and that invalid ones become unreadable records without an
 * exception.
 */
class RecordCodecTest {
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

  /** Guards against a cell that no record states and that hides the one that the journal tells. */
  @Test
  void cellAndWeightThatARecordLeavesOutStayLeftOut() {
    RegistryRecord decoded =
        RecordCodec.decode(
            "caches/c1",
            bytes("{'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'ready'}"));

    RegistryRecord.Cache cache = assertInstanceOf(RegistryRecord.Cache.class, decoded);
    assertEquals(OptionalInt.empty(), cache.cell());
    assertEquals(OptionalDouble.empty(), cache.weight());
    assertEquals(cache, RecordCodec.decode("caches/c1", RecordCodec.encode(cache)));
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

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "caches/c1 | { | value is not valid JSON",
        "caches/c1 | {'v':2} | version 2, expected 1",
        "caches/c1 | {'v':1,'address':'127.0.0.1:1','zone':'','kind':'k','state':'ready'} "
            + "| value: field 'zone' is not a name of 1 to 128 characters"
            + " without spaces and commas",
        "caches/c1 "
            + "| {'v':1,'address':'127.0.0.1:1','zone':'z','kind':'k','state':'ready','weight':0} "
            + "| value: field 'weight' is not a finite number above 0",
        "purges/1 | {'v':1,'object':'xyz','at_ms':1} "
            + "| value: field 'object' is not an object id in hexadecimal",
      })
  void unreadableValueGivesTheReason(String key, String value, String reason) {
    assertEquals(new RegistryRecord.Unreadable(reason), RecordCodec.decode(key, bytes(value)));
  }

  @Test
  void oversizedValueGivesItsSizeAndTheLimit() {
    assertEquals(
        new RegistryRecord.Unreadable("value of 4097 bytes, at most 4096 are allowed"),
        RecordCodec.decode("caches/c1", new byte[4097]));
  }

  @Property(tries = 500)
  void anyValueIsDecodedWithoutAnException(@ForAll byte[] value) {
    RecordCodec.decode("caches/c1", value);
    RecordCodec.decode("purges/1", value);
  }
}
