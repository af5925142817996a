package org.amberpath.gateway.testsupport;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests with one gateway on loopback that knows one cache and the origin, and with
 * one client connected to it.
 */
public abstract class GatewayFixture {
  protected static final long TIMEOUT_MILLIS = 5000;

  protected static final long STALL_MILLIS = 400;

  @TempDir protected Path folder;
  protected GatewayTestbed testbed;
  protected StubCache cache;
  protected TestClient client;

  @BeforeEach
  protected void start() throws Exception {
    testbed = new GatewayTestbed();
    cache = testbed.start(folder);
    client = testbed.client();
  }

  @AfterEach
  protected void end() throws Exception {
    testbed.close();
  }

  protected static String text(ClientAnswer answer) {
    return answer.body() == null
        ? answer.error()
        : new String(answer.body(), StandardCharsets.UTF_8);
  }

  protected static void sendSighup(Process process) throws Exception {
    GatewayProcess.signal(process, "HUP");
  }

  protected void awaitPolls(int count) throws InterruptedException {
    for (int index = 0; index < count; index++) {
      assertNotNull(testbed.journal.polls.poll(10, TimeUnit.SECONDS));
    }
  }

  protected void awaitPoll(String prefix) throws InterruptedException {
    String poll = "";
    while (!poll.startsWith(prefix)) {
      poll = testbed.journal.polls.poll(10, TimeUnit.SECONDS);
      assertNotNull(poll);
    }
  }

  protected Process startProcess(int port) throws Exception {
    return startProcess(
        Map.of(
            "PROXY_LISTEN",
            "127.0.0.1:" + port,
            "PROXY_CONFIG",
            testbed.environment(folder).get("PROXY_CONFIG")));
  }

  protected Process startProcess(Map<String, String> environment) throws Exception {
    return GatewayProcess.start(folder, environment);
  }

  protected static void awaitServing(BufferedReader log) throws Exception {
    GatewayProcess.awaitLine(log, "-> SERVING");
  }

  protected static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, GatewayTestbed.LOOPBACK)) {
      return socket.getLocalPort();
    }
  }
}
