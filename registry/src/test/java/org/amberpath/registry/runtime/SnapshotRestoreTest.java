package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the log lines of a snapshot that is restored or ignored at the start. */
class SnapshotRestoreTest {
  private static final long MS = 1_000_000;
  private static final long SECOND_NANOS = 1000 * MS;
  private static final long NOW_NANOS = 1_000_000_000_000L * MS;

  @TempDir private Path folder;

  private static RegistrySettings settings(Path snapshot) {
    return new RegistrySettings(
        RegistrySettings.ProtocolKind.ETCD,
        List.of(SocketAddress.inetSocketAddress(1, "127.0.0.1")),
        "p/",
        null,
        null,
        null,
        null,
        null,
        null,
        snapshot,
        SECOND_NANOS,
        60 * SECOND_NANOS,
        600 * SECOND_NANOS,
        100,
        10_000);
  }

  /** Restores from the file, and returns the log lines. */
  private static List<String> restore(Path file) throws Exception {
    Vertx vertx = Vertx.vertx();
    CapturedLog captured = new CapturedLog();
    try {
      RegistryView view =
          new RegistryView(
              new HungDiskTest.IgnoringListener(), "p/tip", 100, 600 * SECOND_NANOS, line -> {});
      new SnapshotRestore(vertx, settings(file), () -> NOW_NANOS, new RegistryLog())
          .restoreInto(view)
          .toCompletionStage()
          .toCompletableFuture()
          .get(30, TimeUnit.SECONDS);
      return captured.lines;
    } finally {
      captured.close();
      vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }
  }

  @Test
  @Timeout(120)
  void restoredSnapshotIsLoggedWithItsRevisionAndAge() throws Exception {
    Path file = folder.resolve("view");
    SnapshotFile.write(file, new Snapshot("p/", "12", 40, NOW_NANOS - 50 * MS, List.of()));
    assertEquals(
        List.of("INFO registry: serving from the snapshot of revision 40, 50 ms old"),
        restore(file));
  }

  @Test
  @Timeout(120)
  void ignoredSnapshotIsLoggedWithItsPathAndTheReason() throws Exception {
    Path file = folder.resolve("view");
    SnapshotFile.write(
        file, new Snapshot("p/", "12", 40, NOW_NANOS - 90 * SECOND_NANOS, List.of()));
    assertEquals(
        List.of(
            "WARNING registry: the snapshot "
                + file
                + " is ignored: it is 90 s old, at most 60 s are allowed"),
        restore(file));
    Files.writeString(file, "another's");
    assertEquals(
        List.of(
            "WARNING registry: the snapshot "
                + file
                + " is ignored: the file has no snapshot header"),
        restore(file));
  }
}
