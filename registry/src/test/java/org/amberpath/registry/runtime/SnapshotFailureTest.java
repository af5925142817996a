package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.Callable;
import java.util.function.Function;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.Snapshot;
import org.amberpath.routing.EndpointState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against the loss of the last good snapshot, and against reading an incomplete one, when
 * the disk fails or the process is killed during a write.
 */
class SnapshotFailureTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final int MAX_BYTES = 10_000;

  @TempDir private Path folder;
  private Path file;
  private final List<String> log = new ArrayList<>();
  private final FailingDisk disk = new FailingDisk();
  private long nowNanos = SECOND_NANOS;

  /**
   * A disk that fails at one operation, after half of the bytes were written. With {@code killed}
   * set, temporary files are not deleted either, as after a kill of the process.
   */
  private static final class FailingDisk implements FileOperations {
    final List<String> calls = new ArrayList<>();
    String failingOperation = "";
    boolean isKilled;

    private void recordCall(String operation) throws IOException {
      calls.add(operation);
      if (operation.equals(failingOperation) || (isKilled && operation.equals("delete"))) {
        throw new IOException("No space left on device");
      }
    }

    @Override
    public FileChannel open(Path path) throws IOException {
      recordCall("open");
      return FileOperations.super.open(path);
    }

    @Override
    public void write(FileChannel to, ByteBuffer bytes) throws IOException {
      int end = bytes.limit();
      bytes.limit(bytes.position() + (bytes.remaining() + 1) / 2);
      FileOperations.super.write(to, bytes);
      bytes.limit(end);
      recordCall("write");
    }

    @Override
    public void force(FileChannel file) throws IOException {
      recordCall("force");
      FileOperations.super.force(file);
    }

    @Override
    public void move(Path from, Path to) throws IOException {
      recordCall("move");
      FileOperations.super.move(from, to);
    }

    @Override
    public void forceDirectory(Path directory) throws IOException {
      recordCall("forceDirectory");
      FileOperations.super.forceDirectory(directory);
    }

    @Override
    public void delete(Path path) throws IOException {
      recordCall("delete");
      FileOperations.super.delete(path);
    }
  }

  private static Snapshot snapshot(long revision) {
    return new Snapshot(
        "p/",
        "12",
        revision,
        1_700_000_005_000_000_000L,
        List.of(
            new RegistryEntry(
                "p/caches/c1",
                new RegistryRecord.Cache(
                    "c1",
                    "127.0.0.1:7001",
                    "z",
                    "box",
                    OptionalInt.of(3),
                    EndpointState.DRAINING,
                    OptionalDouble.of(4),
                    1_700_000_000_000L),
                3,
                9),
            new RegistryEntry(
                "p/caches/c2",
                new RegistryRecord.Cache(
                    "c2",
                    "127.0.0.1:7002",
                    "z",
                    "box",
                    OptionalInt.of(0),
                    EndpointState.UP,
                    OptionalDouble.of(1),
                    0),
                4,
                4),
            new RegistryEntry(
                "p/purges/1",
                new RegistryRecord.Purge(0x7f3a9c21e0b4d655L, 0, 1_700_000_000_000L),
                12,
                12),
            new RegistryEntry("p/tasks/sweep", new RegistryRecord.Task(20, "g2"), 5, 30),
            new RegistryEntry("p/tip", new RegistryRecord.Other(), 1, 40)));
  }

  @BeforeEach
  void writeFirstSnapshot() throws IOException {
    file = folder.resolve("view");
    SnapshotFile.write(file, snapshot(1));
  }

  private SnapshotWriter newWriter(Function<Callable<Void>, Future<Void>> worker) {
    return new SnapshotWriter(
        new SnapshotWriter.Target(file, disk, 5 * SECOND_NANOS),
        worker,
        () -> nowNanos,
        7,
        log::add);
  }

  private static Future<Void> runAtOnce(Callable<Void> write) {
    try {
      return Future.succeededFuture(write.call());
    } catch (Exception e) {
      return Future.failedFuture(e);
    }
  }

  private List<String> fileNames() throws IOException {
    try (var all = Files.list(folder)) {
      return all.map(path -> path.getFileName().toString()).toList();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"open", "write", "force", "move"})
  void lastSnapshotStaysWhileTheDiskFailsAndTheLatestIsWrittenOnceItWorks(String failing)
      throws IOException {
    SnapshotWriter writer = newWriter(SnapshotFailureTest::runAtOnce);
    disk.failingOperation = failing;
    int ticks = 600;
    for (int tick = 0; tick < ticks; tick++, nowNanos += SECOND_NANOS) {
      writer.tick(() -> Optional.of(snapshot(2)));
      assertEquals(snapshot(1), SnapshotFile.read(file, MAX_BYTES));
    }
    long attempts = disk.calls.stream().filter("open"::equals).count();
    assertTrue(attempts >= 8 && attempts < ticks / 5, attempts + " tries");
    assertEquals(List.of("view"), fileNames());
    assertEquals(
        List.of(
            "the snapshot "
                + file
                + " can't be written, retrying: java.io.IOException: No space left on device"),
        log);

    disk.failingOperation = "";
    for (int tick = 0; tick < 61; tick++, nowNanos += SECOND_NANOS) {
      // No current view is available, but the pending snapshot must still be written.
      writer.tick(Optional::empty);
    }
    assertEquals(snapshot(2), SnapshotFile.read(file, MAX_BYTES));
    assertEquals(2, log.size(), () -> "" + log);
    assertTrue(log.get(1).endsWith("after " + attempts + " failed attempts"), log.get(1));
  }

  @Test
  void failedSyncOfTheDirectoryIsAFailedWrite() throws IOException {
    SnapshotWriter writer = newWriter(SnapshotFailureTest::runAtOnce);
    disk.failingOperation = "forceDirectory";
    writer.tick(() -> Optional.of(snapshot(2)));
    assertEquals(1, log.size());
    assertEquals(snapshot(2), SnapshotFile.read(file, MAX_BYTES));
  }

  @Test
  void fileIsSyncedBeforeTheMoveAndItsDirectoryAfterIt() throws IOException {
    SnapshotFile.write(file, snapshot(2), disk);
    assertEquals(
        List.of("open", "write", "force", "move", "forceDirectory"),
        disk.calls.stream().distinct().toList());
    assertEquals(snapshot(2), SnapshotFile.read(file, MAX_BYTES));
  }

  @Test
  void leftoverOfAKilledWriteIsNeverReadAndRemovedAtTheNextStart() throws IOException {
    disk.failingOperation = "write";
    disk.isKilled = true;
    assertThrows(SnapshotException.class, () -> SnapshotFile.write(file, snapshot(2), disk));
    String leftover =
        fileNames().stream().filter(name -> !name.equals("view")).findFirst().orElseThrow();
    // The name that another process would use.
    Files.move(folder.resolve(leftover), folder.resolve("view.new-1f"));
    Files.writeString(folder.resolve("view.new"), "half");
    Files.writeString(folder.resolve("view.newer"), "another's");
    assertEquals(snapshot(1), SnapshotFile.read(file, MAX_BYTES));
    SnapshotFile.deleteLeftovers(file, FileOperations.DISK);
    assertEquals(List.of("view", "view.newer"), fileNames().stream().sorted().toList());
  }

  @Test
  void onlyTheLatestSnapshotWaitsForAWriteInProgress() throws Exception {
    Deque<Callable<Void>> writes = new ArrayDeque<>();
    List<Promise<Void>> promises = new ArrayList<>();
    SnapshotWriter writer =
        newWriter(
            write -> {
              writes.add(write);
              promises.add(Promise.promise());
              return promises.get(promises.size() - 1).future();
            });
    for (int revision = 2; revision < 100; revision++, nowNanos += SECOND_NANOS) {
      long currentRevision = revision;
      writer.tick(() -> Optional.of(snapshot(currentRevision)));
    }
    assertEquals(1, writes.size(), "no second write starts while one is in progress");
    writes.remove().call();
    promises.get(0).complete();
    writer.tick(() -> Optional.of(snapshot(100)));
    writes.remove().call();
    assertEquals(snapshot(100), SnapshotFile.read(file, MAX_BYTES));
  }

  @Test
  void snapshotWithAnyByteFlippedOrMissingIsRejected() throws IOException {
    byte[] complete = Files.readAllBytes(file);
    for (int length = 0; length < complete.length; length++) {
      Files.write(file, Arrays.copyOf(complete, length));
      assertThrows(
          SnapshotException.class, () -> SnapshotFile.read(file, MAX_BYTES), "of length " + length);
    }
    for (int offset = 0; offset < complete.length; offset++) {
      for (int flip : new int[] {1, 0x20, 0x80, 0xff}) {
        byte[] corrupted = complete.clone();
        corrupted[offset] ^= (byte) flip;
        Files.write(file, corrupted);
        String where = "byte " + offset + " by " + flip;
        assertThrows(SnapshotException.class, () -> SnapshotFile.read(file, MAX_BYTES), where);
      }
    }
  }

  /**
   * Guards the stored format of version 1. The resource was written on 2026-12-02, by the encoder
   * before its rewrite.
   */
  @Test
  void storedFormOfVersionOneIsReadAndWrittenByteForByte() throws Exception {
    Path golden = Path.of(getClass().getResource("/registry-snapshot-1").toURI());
    assertEquals(snapshot(40), SnapshotFile.read(golden, MAX_BYTES));
    SnapshotFile.write(file, snapshot(40));
    assertEquals(-1, Files.mismatch(golden, file), "the earlier encoder wrote the same bytes");
  }
}
