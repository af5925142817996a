package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.zip.CRC32C;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.Snapshot;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that snapshots are read back, and for which reasons a file is rejected. */
class SnapshotFileTest {
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
  private static final int MAX_BYTES = 10_000;

  @TempDir private Path folder;

  private static Snapshot snapshot() {
    return new Snapshot(
        "p/",
        "12",
        40,
        5,
        List.of(
            new RegistryEntry("p/caches/c1", ENDPOINT, 3, 9),
            new RegistryEntry("p/tip", new RegistryRecord.Other(), 1, 40)));
  }

  private Path writtenFile() throws IOException {
    Path file = folder.resolve("view");
    SnapshotFile.write(file, snapshot());
    return file;
  }

  private static <E extends SnapshotException> String messageOfRejection(Class<E> type, Path file) {
    return assertThrows(type, () -> SnapshotFile.read(file, MAX_BYTES)).getMessage();
  }

  @Test
  void snapshotIsReadAsItWasWritten() throws IOException {
    Path file = writtenFile();
    SnapshotFile.write(file, snapshot());
    assertEquals(snapshot(), SnapshotFile.read(file, MAX_BYTES));
    assertEquals(1, folder.toFile().list().length);
  }

  @Test
  void truncatedSnapshotIsRejected() throws IOException {
    Path file = writtenFile();
    byte[] complete = Files.readAllBytes(file);
    for (int length = 0; length < complete.length; length++) {
      Files.write(file, Arrays.copyOf(complete, length));
      assertThrows(SnapshotException.class, () -> SnapshotFile.read(file, MAX_BYTES));
    }
  }

  @Test
  void snapshotOfALaterVersionOrBeyondTheSizeLimitIsRejected() throws IOException {
    Path file = writtenFile();
    assertEquals(
        "the file is larger than 20 bytes",
        assertThrows(SnapshotException.TooLong.class, () -> SnapshotFile.read(file, 20))
            .getMessage());
    Files.writeString(file, Files.readString(file).replaceFirst("snapshot 1 ", "snapshot 2 "));
    assertEquals(
        "the file has the unsupported version 2",
        messageOfRejection(SnapshotException.UnsupportedVersion.class, file));
  }

  @Test
  void fileWithoutASnapshotHeaderIsRejected() throws IOException {
    Path file = Files.writeString(folder.resolve("view"), "another's\n{}");
    assertEquals(
        "the file has no snapshot header",
        messageOfRejection(SnapshotException.NotASnapshot.class, file));
  }

  @Test
  void snapshotWithAWrongChecksumIsRejected() throws IOException {
    Path file = writtenFile();
    Files.writeString(file, Files.readString(file) + " ");
    assertEquals(
        "the file is corrupted: its checksum does not match",
        messageOfRejection(SnapshotException.ChecksumMismatch.class, file));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{} | snapshot: field 'prefix' is missing",
        "[] | snapshot: not an object",
      })
  void snapshotWithoutItsFieldsIsMalformed(String body, String message) throws IOException {
    CRC32C sum = new CRC32C();
    sum.update(body.getBytes(StandardCharsets.UTF_8));
    String header = "amberpath-registry-snapshot 1 " + Long.toHexString(sum.getValue());
    Path file = Files.writeString(folder.resolve("view"), header + "\n" + body);
    assertEquals(message, messageOfRejection(SnapshotException.Malformed.class, file));
  }

  @Test
  void missingFileCannotBeRead() {
    Path file = folder.resolve("view");
    assertEquals(
        "the file can't be read: java.nio.file.NoSuchFileException: " + file,
        messageOfRejection(SnapshotException.ReadFailed.class, file));
  }

  @Test
  void fileInAMissingDirectoryCannotBeWritten() {
    Path file = folder.resolve("none").resolve("view");
    String message =
        assertThrows(
                SnapshotException.WriteFailed.class, () -> SnapshotFile.write(file, snapshot()))
            .getMessage();
    assertTrue(message.startsWith("java.nio.file.NoSuchFileException: " + file), message);
  }
}
