package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ListedEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a start that waits for a hung disk. A named pipe that nobody writes to stands for
 * the snapshot file: the source must contact the registry without it.
 */
class HungDiskTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final int TIMEOUT_MILLIS = 30_000;

  /** Ignores all notifications. */
  static final class IgnoringListener implements EndpointListener {
    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {}

    @Override
    public void objectPurged(long object, int group, long atMs) {}
  }

  @Test
  @Timeout(120)
  void registryIsContactedWhileTheSnapshotReadHangs(@TempDir Path folder) throws Exception {
    Path pipe = folder.resolve("view");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    Vertx vertx = Vertx.vertx();
    try (ServerSocket endpoint = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
      endpoint.setSoTimeout(TIMEOUT_MILLIS);
      RegistrySettings settings =
          new RegistrySettings(
              RegistrySettings.ProtocolKind.ETCD,
              List.of(SocketAddress.inetSocketAddress(endpoint.getLocalPort(), "127.0.0.1")),
              "p/",
              null,
              null,
              null,
              null,
              null,
              null,
              pipe,
              SECOND_NANOS,
              SECOND_NANOS,
              600 * SECOND_NANOS,
              100,
              1 << 20);
      Context eventLoop = vertx.getOrCreateContext();
      RegistrySource source = new RegistrySource(vertx, settings, new IgnoringListener(), 7);
      eventLoop.runOnContext(now -> source.start());
      try (Socket connection = endpoint.accept()) {
        assertTrue(connection.isConnected());
      } finally {
        Files.newOutputStream(pipe).close(); // Ends the pending read.
        eventLoop.runOnContext(now -> source.close());
      }
    } finally {
      vertx
          .close()
          .toCompletionStage()
          .toCompletableFuture()
          .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
