package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayProcess;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests starts and shutdowns of gateways, in the test's process and in separate processes. */
@Timeout(30)
class GatewayLifecycleTest extends GatewayFixture {
  /** Longer than a start takes that waits for nothing. */
  private static final long START_MILLIS = 3000;

  @Test
  void gatewayServesAfterAWarmUpOverItsOwnAddress() throws Exception {
    Process process = startProcess(0);
    try (BufferedReader log = process.inputReader()) {
      GatewayProcess.awaitLine(log, "warm-up: ");
      awaitServing(log);
    } finally {
      process.destroyForcibly();
    }
  }

  /** Guards against routing by an earlier run's snapshot while the registry answers late. */
  @Test
  void gatewayServesOnceItsEndpointSourceHasTheFirstList() throws Exception {
    AtomicBoolean awaitsFirstList = new AtomicBoolean(true);
    EndpointSource source =
        new EndpointSource() {
          @Override
          public void start() {}

          @Override
          public boolean awaitsFirstList() {
            return awaitsFirstList.get();
          }

          @Override
          public void reload() {}

          @Override
          public void close() {}
        };
    Gateway gateway =
        new Gateway(
            testbed.vertx,
            GatewayOptions.read(testbed.environment(folder)),
            new GatewayExtensions((vertx, listener, seed) -> source, null));
    var started = gateway.start().toCompletionStage().toCompletableFuture();

    assertThrows(TimeoutException.class, () -> started.get(START_MILLIS, TimeUnit.MILLISECONDS));
    assertEquals(Gateway.Phase.STARTING, gateway.phase());

    awaitsFirstList.set(false);
    started.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertEquals(Gateway.Phase.SERVING, gateway.phase());
    gateway.stop().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Test
  void stoppingGatewayAnswersReceivedAndNewRequests() throws Exception {
    client.sendRequest(1, "parts", 2500, 0);
    ReceivedCommand command = cache.nextCommand();
    var stopped = testbed.gateway.stop().toCompletionStage().toCompletableFuture();
    while (client.requestStatus().isReady()) {
      assertFalse(stopped.isDone());
    }
    TestClient lateClient = testbed.client();
    lateClient.sendRequest(2, "parts", 1500, 1);
    cache.nextCommand().replyOk("late request");
    assertEquals("late request", text(lateClient.receive()));
    command.replyOk("received before the stop");
    assertEquals("received before the stop", text(client.receive()));
    stopped.get(10, TimeUnit.SECONDS);
    assertEquals(Gateway.Phase.STOPPED, testbed.gateway.phase());
    assertTrue(client.isClosed());
  }

  @Test
  void requestInFlightJustBeforeSigkillIsAnswered() throws Exception {
    client.sendRequest(1, "parts", 9000, 0);
    cache.nextCommand();
    long stoppedAt = System.nanoTime();
    testbed.gateway.stop();
    assertEquals("Internal", client.receive().error());
    assertTrue(System.nanoTime() - stoppedAt < 3_700_000_000L);
  }

  @Test
  void processExitsAfterSigtermWithAllRequestsAnswered() throws Exception {
    int port = freePort();
    Process process = startProcess(port);
    try (BufferedReader log = process.inputReader()) {
      awaitServing(log);
      TestClient processClient = testbed.client(port);
      assertTrue(processClient.requestStatus().isReady());
      processClient.sendRequest(1, "parts", 2500, 0);
      ReceivedCommand command = cache.nextCommand();
      // Neither a reload in progress nor a second SIGTERM changes the shutdown.
      sendSighup(process);
      process.destroy();
      process.destroy();
      while (processClient.requestStatus().isReady()) {
        assertTrue(process.isAlive());
      }
      command.replyOk("before the exit");
      assertEquals("before the exit", text(processClient.receive()));
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void killedGatewayRestartsAtOnceAtItsAddressWithoutState() throws Exception {
    int port = freePort();
    for (int start = 1; start <= 2; start++) {
      Process process = startProcess(port);
      try (BufferedReader log = process.inputReader()) {
        awaitServing(log);
        TestClient processClient = testbed.client(port);
        processClient.sendRequest(start, "parts", 5000, 0);
        assertEquals("1", cache.nextCommand().field("prio"));
      } finally {
        process.destroyForcibly().waitFor();
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "listen, no-address, PROXY_LISTEN no address:port: no-address",
    "listen, taken, PROXY_LISTEN: can't listen at",
    "known, asleep, configuration known entries hosts instances: field 'lifecycle' is of no known"
        + " kind: asleep",
    "config, /nowhere.json, PROXY_CONFIG: /nowhere.json can't be read"
  })
  void failedStartPrintsOneMessage(String key, String value, String message) throws Exception {
    Path file = Path.of(testbed.environment(folder).get("PROXY_CONFIG"));
    if (key.equals("known")) {
      Files.writeString(file, Files.readString(file).replace("ready", value));
    }
    String listen =
        value.equals("taken") ? cache.address() : key.equals("listen") ? value : "127.0.0.1:0";
    Process process =
        startProcess(
            Map.of(
                "PROXY_LISTEN",
                listen,
                "PROXY_CONFIG",
                key.equals("config") ? value : file.toString()));
    try (BufferedReader log = process.inputReader()) {
      List<String> lines =
          new ArrayList<>(log.lines().filter(line -> !line.contains(" INFO ")).toList());
      boolean settingsAreValid = value.equals("taken") || key.equals("known");
      if (settingsAreValid && GatewayProcess.inheritsIgnoredHangUp()) {
        String first = lines.remove(0);
        assertTrue(first.matches(GatewayProcess.HANG_UP_IGNORED), first);
      }
      assertTrue(lines.size() == 1 && lines.get(0).startsWith(message), lines.toString());
      assertEquals(1, process.waitFor());
    }
  }
}
