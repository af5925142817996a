package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;

/**
 * Guards the stored format: records of version 1 that released code wrote must be decoded, and must
 * be encoded to the same bytes.
 */
class RecordCodecGoldenTest {
  /** One key and its value per line, written by the code of commit 7587aa7; never regenerated. */
  private static final String GOLDEN = "/registry-records-1";

  private static final Map<String, RegistryRecord> RECORDS = records();

  private static Map<String, RegistryRecord> records() {
    Map<String, RegistryRecord> records = new LinkedHashMap<>();
    records.put(
        "caches/c-1",
        new RegistryRecord.Cache(
            "c-1",
            "192.0.2.1:8080",
            "z1",
            "memory",
            OptionalInt.of(0),
            EndpointState.UP,
            OptionalDouble.of(1),
            1700000000123L));
    records.put(
        "caches/c-2",
        new RegistryRecord.Cache(
            "c-2",
            "[2001:db8::1]:8081",
            "z-2",
            "disk",
            OptionalInt.of(7),
            EndpointState.DRAINING,
            OptionalDouble.of(0.25),
            0));
    records.put("purges/one", new RegistryRecord.Purge(0xfedcba9876543210L, 0, 1700000000456L));
    records.put("purges/group", new RegistryRecord.Purge(0, 12, 1700000000789L));
    records.put("tasks/sweep", new RegistryRecord.Task(5, "g-1"));
    records.put("task-owners/sweep", new RegistryRecord.Task(Long.MAX_VALUE, "g-2"));
    return records;
  }

  private static Map<String, byte[]> golden() throws IOException {
    Map<String, byte[]> values = new LinkedHashMap<>();
    try (InputStream in = RecordCodecGoldenTest.class.getResourceAsStream(GOLDEN)) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      text.lines()
          .forEach(
              line -> {
                int end = line.indexOf(' ');
                values.put(
                    line.substring(0, end),
                    line.substring(end + 1).getBytes(StandardCharsets.UTF_8));
              });
    }
    return values;
  }

  @Test
  void valuesOfAnEarlierReleaseAreDecoded() throws IOException {
    Map<String, RegistryRecord> read = new LinkedHashMap<>();
    golden().forEach((key, value) -> read.put(key, RecordCodec.decode(key, value)));
    assertEquals(RECORDS, read);
  }

  @Test
  void sameBytesAreEncoded() throws IOException {
    golden()
        .forEach(
            (key, value) ->
                assertEquals(
                    new String(value, StandardCharsets.UTF_8),
                    new String(RecordCodec.encode(RECORDS.get(key)), StandardCharsets.UTF_8),
                    key));
  }
}
