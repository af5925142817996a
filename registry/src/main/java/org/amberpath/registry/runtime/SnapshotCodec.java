package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.Snapshot;

/**
 * Codec of the snapshot file, version 1: a header line with magic, version and CRC-32C checksum,
 * then JSON.
 */
final class SnapshotCodec {
  private static final String MAGIC = "amberpath-registry-snapshot";
  private static final int VERSION = 1;
  private static final int HEADER_FIELDS = 3;

  private SnapshotCodec() {}

  static byte[] encode(Snapshot snapshot) {
    byte[] body = JsonBytes.write(json -> writeBody(json, snapshot));
    String header = MAGIC + " " + VERSION + " " + checksum(body) + "\n";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(header.getBytes(StandardCharsets.US_ASCII));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }

  private static void writeBody(JsonGenerator json, Snapshot snapshot) throws IOException {
    json.writeStartObject();
    json.writeStringField("prefix", snapshot.prefix());
    json.writeStringField("cluster", snapshot.cluster());
    json.writeNumberField("revision", snapshot.revision());
    json.writeNumberField("proven_at", snapshot.confirmedAtNanos());
    json.writeArrayFieldStart("keys");
    for (RegistryEntry entry : snapshot.entries()) {
      if (!(entry.value() instanceof RegistryRecord.Unreadable)) {
        writeEntry(json, entry);
      }
    }
    json.writeEndArray();
    json.writeEndObject();
  }

  private static void writeEntry(JsonGenerator json, RegistryEntry entry) throws IOException {
    json.writeStartObject();
    json.writeStringField("key", entry.key());
    json.writeNumberField("created", entry.createRevision());
    json.writeNumberField("changed", entry.modRevision());
    if (!(entry.value() instanceof RegistryRecord.Other)) {
      json.writeStringField(
          "value", new String(RecordCodec.encode(entry.value()), StandardCharsets.UTF_8));
    }
    json.writeEndObject();
  }

  private static String checksum(byte[] body) {
    CRC32C sum = new CRC32C();
    sum.update(body);
    return Long.toHexString(sum.getValue());
  }

  static Snapshot decode(byte[] bytes) throws SnapshotException {
    int headerLength = 0;
    while (headerLength < bytes.length && bytes[headerLength] != '\n') {
      headerLength++;
    }
    String[] header = new String(bytes, 0, headerLength, StandardCharsets.US_ASCII).split(" ", 0);
    if (header.length != HEADER_FIELDS || !header[0].equals(MAGIC)) {
      throw new SnapshotException.NotASnapshot();
    }
    if (!header[1].equals(Integer.toString(VERSION))) {
      throw new SnapshotException.UnsupportedVersion(header[1]);
    }
    byte[] body = Arrays.copyOfRange(bytes, Math.min(bytes.length, headerLength + 1), bytes.length);
    if (!header[2].equals(checksum(body))) {
      throw new SnapshotException.ChecksumMismatch();
    }
    return decodeBody(body);
  }

  private static Snapshot decodeBody(byte[] body) throws SnapshotException {
    try (JsonParser parser = new JsonFactory().createParser(body)) {
      JsonReader fields = JsonReader.read("snapshot", parser);
      String prefix = fields.string("prefix");
      List<RegistryEntry> entries = new ArrayList<>();
      for (JsonReader entry : fields.objects("keys")) {
        entries.add(decodeEntry(entry, prefix));
      }
      return new Snapshot(
          prefix,
          fields.string("cluster"),
          fields.longValue("revision"),
          fields.longValue("proven_at"),
          entries);
    } catch (InvalidDocumentException | IOException e) {
      throw new SnapshotException.Malformed(e);
    }
  }

  private static RegistryEntry decodeEntry(JsonReader entry, String prefix) {
    String key = entry.string("key");
    RegistryRecord value =
        !entry.has("value") || !key.startsWith(prefix)
            ? new RegistryRecord.Other()
            : RecordCodec.decode(
                key.substring(prefix.length()),
                entry.string("value").getBytes(StandardCharsets.UTF_8));
    return new RegistryEntry(key, value, entry.longValue("created"), entry.longValue("changed"));
  }
}
