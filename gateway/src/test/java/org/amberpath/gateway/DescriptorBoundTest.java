package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.amberpath.gateway.testsupport.GatewayProcess;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The number of descriptors of a gateway while far more clients connect than it may hold. */
@Timeout(60)
class DescriptorBoundTest {
  private static final int MAX_DESCRIPTORS = 128;
  private static final int CLIENT_COUNT = 900;

  @TempDir private Path folder;

  /**
   * Covers the shutdown too, during which each new connection holds a descriptor until the gateway
   * closes it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void gatewayStaysWithinItsDescriptorsWhileFarMoreClientsConnect(boolean shuttingDown)
      throws Exception {
    List<SocketChannel> idleSockets = new ArrayList<>();
    AtomicBoolean countingEnds = new AtomicBoolean();
    AtomicInteger maxOpenDescriptors = new AtomicInteger();
    try (GatewayTestbed testbed = new GatewayTestbed()) {
      Process process =
          GatewayProcess.start(
              folder,
              Map.of(
                  "PROXY_LISTEN",
                  "127.0.0.1:0",
                  "PROXY_CONFIG",
                  testbed.environment(folder).get("PROXY_CONFIG")));
      try {
        int port = awaitServing(process.inputReader());
        File descriptorFolder = new File("/proc/" + process.pid() + "/fd");
        Future<?> counting =
            testbed.executor.submit(
                () -> {
                  while (!countingEnds.get()) {
                    String[] open = descriptorFolder.list();
                    maxOpenDescriptors.accumulateAndGet(open == null ? 0 : open.length, Math::max);
                  }
                });
        TestClient firstClient = testbed.client(port);
        for (int count = 0; count < MAX_DESCRIPTORS / 2 - 1; count++) {
          assertEquals(9999, testbed.client(port).requestStatus().messageId());
        }
        firstClient.requestStatus();
        if (shuttingDown) {
          process.destroy();
          assertTrue(firstClient.isClosed());
        } else {
          // All connections made now are accepted in one burst, as after a pause of the machine.
          GatewayProcess.signal(process, "STOP");
        }
        connect(port, idleSockets);
        if (!shuttingDown) {
          GatewayProcess.signal(process, "CONT");
          assertEquals(
              9999, testbed.client(port).requestStatus().messageId(), "a new client is served");
        } else {
          assertTrue(process.waitFor(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        countingEnds.set(true);
        counting.get();
        assertTrue(
            maxOpenDescriptors.get() > MAX_DESCRIPTORS / 2
                && maxOpenDescriptors.get() <= MAX_DESCRIPTORS,
            maxOpenDescriptors + " descriptors");
      } finally {
        countingEnds.set(true);
        process.destroyForcibly();
        for (SocketChannel one : idleSockets) {
          one.close();
        }
      }
    }
  }

  private static void connect(int port, List<SocketChannel> idleSockets) throws Exception {
    byte[] status = TestClient.encodeRequest(1, "status", Map.of(), null);
    try {
      for (int count = 0; count < CLIENT_COUNT; count++) {
        SocketChannel socket =
            SocketChannel.open(new InetSocketAddress(GatewayTestbed.LOOPBACK, port));
        idleSockets.add(socket);
        socket.write(ByteBuffer.wrap(status));
      }
    } catch (IOException e) {
      // The gateway has closed its listening socket.
    }
  }

  private static int awaitServing(BufferedReader log) throws Exception {
    String line = GatewayProcess.awaitLine(log, "listens at ");
    return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
  }
}
