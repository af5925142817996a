package org.amberpath.registry.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.Snapshot;

/**
 * * The file of a snapshot: a first line with its version and checksum, then JSON. It is written
 * beside and moved into its place, so that a crash leaves the one before.
 */
final class SnapshotFile {
  private static final String MAGIC = "amberpath-registry-snapshot";
  private static final int VERSION = 1;
  private static final String TEMPORARY_SUFFIX = ".new",
      PROCESS_SUFFIX = Long.toHexString(new SecureRandom().nextLong());

  private SnapshotFile() {}

  static void write(Path file, Snapshot snapshot) throws IOException {
    write(file, snapshot, FileOperations.DISK);
  }

  /** Writes the whole of it, or leaves the file as it was. */
  static void write(Path file, Snapshot snapshot, FileOperations files) throws IOException {
    byte[] body = body(snapshot);
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(
        (MAGIC + " " + VERSION + " " + checksum(body) + "\n").getBytes(StandardCharsets.US_ASCII));
    all.writeBytes(body);
    // Guards against a process that is not quite gone yet and writes beside the same file.
    Path beside = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX + "-" + PROCESS_SUFFIX);
    try {
      try (FileChannel out = files.open(beside)) {
        ByteBuffer bytes = ByteBuffer.wrap(all.toByteArray());
        while (bytes.hasRemaining()) {
          files.write(out, bytes);
        }
        files.force(out);
      }
      files.move(beside, file);
    } catch (IOException e) {
      deleteQuietly(beside, files);
      throw e;
    }
    // Guards the move itself against a loss of power.
    files.forceFolder(file.toAbsolutePath().getParent());
  }

  /** Removes what writes that were cut short have left beside the file. */
  static void clean(Path file, FileOperations files) {
    Pattern stale =
        Pattern.compile(
            Pattern.quote(file.getFileName() + TEMPORARY_SUFFIX) + "(-[0-9a-f]{1,16})?");
    try (DirectoryStream<Path> all =
        Files.newDirectoryStream(
            file.toAbsolutePath().getParent(),
            one ->
                stale.matcher(one.getFileName().toString()).matches()
                    && !one.toString().endsWith(PROCESS_SUFFIX))) {
      all.forEach(one -> deleteQuietly(one, files));
    } catch (IOException | DirectoryIteratorException e) {
      return; // They take place and do no other harm; the next start looks again.
    }
  }

  private static void deleteQuietly(Path file, FileOperations files) {
    try {
      files.delete(file);
    } catch (IOException e) {
      return; // It stays beside, is never read, and goes with the next start.
    }
  }

  private static String checksum(byte[] body) {
    CRC32C sum = new CRC32C();
    sum.update(body);
    return Long.toHexString(sum.getValue());
  }

  private static byte[] body(Snapshot snapshot) {
    return EtcdProtocol.json(
        to -> {
          to.writeStartObject();
          to.writeStringField("prefix", snapshot.prefix());
          to.writeStringField("cluster", snapshot.cluster());
          to.writeNumberField("revision", snapshot.revision());
          to.writeNumberField("proven_at", snapshot.confirmedAtNanos());
          to.writeArrayFieldStart("keys");
          for (RegistryEntry held : snapshot.entries()) {
            if (held.value() instanceof RegistryRecord.Unreadable) {
              continue;
            }
            to.writeStartObject();
            to.writeStringField("key", held.key());
            to.writeNumberField("created", held.createRevision());
            to.writeNumberField("changed", held.modRevision());
            if (!(held.value() instanceof RegistryRecord.Other)) {
              to.writeStringField(
                  "value", new String(RecordCodec.encode(held.value()), StandardCharsets.UTF_8));
            }
            to.writeEndObject();
          }
          to.writeEndArray();
          to.writeEndObject();
        });
  }

  /** Reads a file; what is wrong with it is the message of an IOException. */
  static Snapshot read(Path file, int longest) throws IOException {
    if (Files.size(file) > longest) {
      throw new IOException("longer than " + longest + " bytes");
    }
    byte[] all = Files.readAllBytes(file);
    int line = 0;
    while (line < all.length && all[line] != '\n') {
      line++;
    }
    String[] head = new String(all, 0, line, StandardCharsets.US_ASCII).split(" ", 0);
    if (head.length != 3 || !head[0].equals(MAGIC)) {
      throw new IOException("no snapshot");
    }
    if (!head[1].equals(Integer.toString(VERSION))) {
      throw new IOException("of version " + head[1]);
    }
    byte[] body = Arrays.copyOfRange(all, Math.min(all.length, line + 1), all.length);
    if (!head[2].equals(checksum(body))) {
      throw new IOException("torn: its checksum is another one");
    }
    try (JsonParser parser = new JsonFactory().createParser(body)) {
      JsonReader fields = JsonReader.read("snapshot", parser);
      String prefix = fields.string("prefix");
      List<RegistryEntry> keys = new ArrayList<>();
      for (JsonReader one : fields.objects("keys")) {
        String key = one.string("key");
        RegistryRecord content =
            !one.has("value") || !key.startsWith(prefix)
                ? new RegistryRecord.Other()
                : RecordCodec.read(
                    key.substring(prefix.length()),
                    one.string("value").getBytes(StandardCharsets.UTF_8));
        keys.add(
            new RegistryEntry(key, content, one.longValue("created"), one.longValue("changed")));
      }
      return new Snapshot(
          prefix,
          fields.string("cluster"),
          fields.longValue("revision"),
          fields.longValue("proven_at"),
          keys);
    } catch (InvalidDocumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
