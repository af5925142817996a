package org.amberpath.lab.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.Key;
import java.security.KeyStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.WatchSession.Phase;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistryAdminClient;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySettings.ProtocolKind;
import org.amberpath.registry.runtime.RegistrySource;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointState;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests {@link RegistrySource} over loopback sockets against a stand-in registry: failures that
 * occur only with real sockets, files and TLS.
 */
@Timeout(60)
class RegistrySourceTest {
  private static final String SECRET = "s3cr3t-of-the-house";
  private static final String PREFIX = "amberpath/";
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final RecordedEndpointList recordedList =
      new RecordedEndpointList(System::nanoTime, line -> {}, line -> {}).allowRepeatedPurges();
  private final List<String> logged = new ArrayList<>();
  private final Logger logger = Logger.getLogger("org.amberpath.registry");
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord record) {
          synchronized (logged) {
            logged.add(record.getMessage());
          }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };
  @TempDir private Path folder;
  private StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  private RegistrySource source;

  @AfterEach
  void closeAll() throws Exception {
    callOnLoop(
        () -> {
          if (source != null) {
            source.close();
          }
          return null;
        });
    logger.removeHandler(handler);
    EventLoopWaiter.await(vertx.close());
  }

  private <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  private void await(Callable<Boolean> condition) {
    try {
      Awaitility.await()
          .atMost(TIMEOUT)
          .pollInterval(POLL_INTERVAL)
          .until(() -> callOnLoop(condition));
    } catch (ConditionTimeoutException e) {
      throw new AssertionError(
          "not in time; " + recordedList.endpointStates() + " " + source.status() + " " + logged,
          e);
    }
  }

  private void openEndpoints(int count) throws Exception {
    for (int one = 0; one < count; one++) {
      EventLoopWaiter.await(callOnLoop(() -> registry.open(0)));
    }
  }

  private RegistrySettings settings(
      ProtocolKind protocol, Path trust, Path token, String user, Path password, Path snapshot) {
    List<SocketAddress> addresses =
        registry.endpoints().stream()
            .map(one -> SocketAddress.inetSocketAddress(one.port(), "127.0.0.1"))
            .toList();
    return new RegistrySettings(
        protocol,
        addresses,
        PREFIX,
        trust,
        null,
        null,
        token,
        user,
        password,
        snapshot,
        0,
        3600 * NANOS_PER_SECOND,
        600 * NANOS_PER_SECOND,
        1000,
        1 << 20);
  }

  private RegistrySettings defaultSettings(ProtocolKind protocol) {
    return settings(protocol, null, null, null, null, null);
  }

  private void start(RegistrySettings settings) throws Exception {
    logger.addHandler(handler);
    callOnLoop(
        () -> {
          source = new RegistrySource(vertx, settings, recordedList, 7);
          source.start();
          return null;
        });
  }

  private void put(String id, EndpointState state) throws Exception {
    Map<String, byte[]> writes = new TreeMap<>();
    writes.put(
        PREFIX + RecordCodec.CACHES_PREFIX + id,
        state == null
            ? null
            : RecordCodec.encode(RegistryWorkload.cache(id, "127.0.0.1:7001", state)));
    writes.put(
        PREFIX + RecordCodec.TIP_KEY,
        Long.toString(System.nanoTime()).getBytes(StandardCharsets.US_ASCII));
    callOnLoop(() -> registry.write(writes));
  }

  private Boolean hasState(String id, EndpointState state) {
    return recordedList.endpointStates().get(id) == state;
  }

  @ParameterizedTest
  @EnumSource(ProtocolKind.class)
  void changesAreAppliedAcrossBrokenConnectionsAndCompaction(ProtocolKind protocol)
      throws Exception {
    openEndpoints(2);
    put("a", EndpointState.UP);
    start(defaultSettings(protocol));
    await(() -> hasState("a", EndpointState.UP));
    put("a", EndpointState.DRAINING);
    await(() -> hasState("a", EndpointState.DRAINING));
    callOnLoop(
        () -> {
          registry.endpoints().forEach(StandInEndpoint::breakConnections);
          return null;
        });
    put("b", EndpointState.UP);
    put("a", null);
    callOnLoop(
        () -> {
          registry.compact(0);
          return null;
        });
    await(() -> hasState("b", EndpointState.UP) && hasState("a", null));
    callOnLoop(
        () -> {
          registry.write(
              new TreeMap<>(Map.of(PREFIX + RecordCodec.CACHES_PREFIX + "bad", new byte[] {1})));
          return null;
        });
    put("c", EndpointState.UP);
    await(() -> hasState("c", EndpointState.UP) && hasState("bad", null));
  }

  @ParameterizedTest
  @EnumSource(ProtocolKind.class)
  void drainIsAppliedInTimeWhenBothWatchesStopResponding(ProtocolKind protocol) throws Exception {
    openEndpoints(3);
    put("a", EndpointState.UP);
    start(defaultSettings(protocol));
    await(() -> hasState("a", EndpointState.UP) && source.status().watchCount() == 2);
    // A fixed sleep, because the elapsed time is what matters: both watches must have been steady
    // for
    // longer than the session requires before it relies on an endpoint.
    Thread.sleep(1500);
    callOnLoop(
        () -> {
          registry
              .endpoints()
              .subList(0, 2)
              .forEach(one -> one.setBehavior(EndpointBehavior.SILENT));
          return null;
        });
    long writtenAtNanos = System.nanoTime();
    put("a", EndpointState.DRAINING);
    await(() -> hasState("a", EndpointState.DRAINING));
    long appliedAfterMillis = (System.nanoTime() - writtenAtNanos) / 1_000_000;
    assertTrue(
        appliedAfterMillis < 600, appliedAfterMillis + " ms, a loaded machine's time included");
  }

  @Test
  void expiredTokenIsRereadAndNoSecretIsLogged() throws Exception {
    openEndpoints(1);
    Path token = folder.resolve("token");
    Files.writeString(token, SECRET + "-1\n");
    callOnLoop(
        () -> {
          registry.requireToken(SECRET + "-1");
          return null;
        });
    put("a", EndpointState.UP);
    start(settings(ProtocolKind.ETCD, null, token, null, null, null));
    await(() -> hasState("a", EndpointState.UP));
    Files.writeString(token, SECRET + "-2\n");
    callOnLoop(
        () -> {
          registry.requireToken(SECRET + "-2");
          registry.endpoints().get(0).breakConnections();
          return null;
        });
    put("a", EndpointState.DRAINING);
    await(() -> hasState("a", EndpointState.DRAINING));
    callOnLoop(
        () -> {
          registry.requireToken(SECRET + "-3");
          registry.endpoints().get(0).breakConnections();
          return null;
        });
    await(() -> logged.stream().anyMatch(line -> line.contains("UNAUTHORISED")));
    assertFalse(logged.toString().contains(SECRET), logged.toString());
  }

  @Test
  void passwordIsExchangedForTokenAndNotLogged() throws Exception {
    openEndpoints(1);
    Path password = folder.resolve("password");
    Files.writeString(password, SECRET);
    callOnLoop(
        () -> {
          registry.requireToken("given");
          return null;
        });
    put("a", EndpointState.UP);
    start(settings(ProtocolKind.ETCD, null, null, "reader", password, null));
    await(() -> hasState("a", EndpointState.UP));
    assertFalse(logged.toString().contains(SECRET));
  }

  /** Creates a key and a certificate for 127.0.0.1 with the JDK's keytool, as PEM files. */
  private PemKeyCertOptions createCertificate(String name) throws Exception {
    Path store = folder.resolve(name + ".p12");
    Process keytool =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                "-genkeypair",
                "-alias",
                "a",
                "-keyalg",
                "EC",
                "-storetype",
                "PKCS12",
                "-keystore",
                store.toString(),
                "-storepass",
                "password",
                "-dname",
                "CN=stand-in",
                "-ext",
                "SAN=IP:127.0.0.1")
            .inheritIO()
            .start();
    assertEquals(0, keytool.waitFor());
    KeyStore keys = KeyStore.getInstance(store.toFile(), "password".toCharArray());
    Key key = keys.getKey("a", "password".toCharArray());
    Path certificate =
        writePem(name + ".crt", "CERTIFICATE", keys.getCertificate("a").getEncoded());
    Path privateKey = writePem(name + ".key", "PRIVATE KEY", key.getEncoded());
    return new PemKeyCertOptions()
        .setCertPath(certificate.toString())
        .setKeyPath(privateKey.toString());
  }

  private Path writePem(String name, String label, byte[] bytes) throws IOException {
    return Files.writeString(
        folder.resolve(name),
        "-----BEGIN "
            + label
            + "-----\n"
            + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes)
            + "\n-----END "
            + label
            + "-----\n");
  }

  @Test
  void serverIsTrustedOnceItsCertificateIsInTheTrustFile() throws Exception {
    registry =
        new StandInRegistry(
            vertx,
            new HttpServerOptions().setSsl(true).setKeyCertOptions(createCertificate("one")));
    openEndpoints(1);
    createCertificate("other");
    Path trust = Files.copy(folder.resolve("other.crt"), folder.resolve("trust.pem"));
    put("a", EndpointState.UP);
    start(settings(ProtocolKind.ETCD, trust, null, null, null, null));
    await(() -> logged.stream().anyMatch(line -> line.contains("UNTRUSTED")));
    assertEquals(Map.of(), recordedList.endpointStates());
    Files.writeString(trust, Files.readString(folder.resolve("one.crt")));
    callOnLoop(
        () -> {
          source.reload();
          return null;
        });
    await(() -> hasState("a", EndpointState.UP));
    // Reading the files again does not affect an open watch.
    callOnLoop(
        () -> {
          source.reload();
          return null;
        });
    put("a", EndpointState.DRAINING);
    await(() -> hasState("a", EndpointState.DRAINING));
  }

  @Test
  void clientCertificateIsPresentedToServerThatRequiresOne() throws Exception {
    PemKeyCertOptions server = createCertificate("server");
    createCertificate("client");
    registry =
        new StandInRegistry(
            vertx,
            new HttpServerOptions()
                .setSsl(true)
                .setKeyCertOptions(server)
                .setClientAuth(ClientAuth.REQUIRED)
                .setTrustOptions(
                    new PemTrustOptions().addCertPath(folder.resolve("client.crt").toString())));
    openEndpoints(1);
    put("a", EndpointState.UP);
    Path trust = folder.resolve("server.crt");
    RegistrySettings without = settings(ProtocolKind.ETCD, trust, null, null, null, null);
    start(
        new RegistrySettings(
            ProtocolKind.ETCD,
            without.endpoints(),
            PREFIX,
            trust,
            folder.resolve("client.crt"),
            folder.resolve("client.key"),
            null,
            null,
            null,
            null,
            0,
            NANOS_PER_SECOND,
            600 * NANOS_PER_SECOND,
            1000,
            1 << 20));
    await(() -> hasState("a", EndpointState.UP));
    try (RegistryAdminClient adminClient = new RegistryAdminClient(vertx, without)) {
      assertThrows(ExecutionException.class, () -> EventLoopWaiter.await(adminClient.list()));
    }
  }

  @Test
  void watchEndedByServerIsReopened() throws Exception {
    openEndpoints(1);
    put("a", EndpointState.UP);
    start(defaultSettings(ProtocolKind.ETCD));
    await(() -> hasState("a", EndpointState.UP) && source.status().watchCount() == 1);
    callOnLoop(
        () -> {
          registry.endpoints().get(0).endWatches();
          return null;
        });
    put("a", EndpointState.DRAINING);
    await(() -> hasState("a", EndpointState.DRAINING) && source.status().watchCount() == 1);
  }

  @Test
  void snapshotWithItsAgeIsServedWhileRegistryIsDown() throws Exception {
    openEndpoints(1);
    put("a", EndpointState.UP);
    Path file = folder.resolve("view");
    start(settings(ProtocolKind.ETCD, null, null, null, null, file));
    await(() -> Files.exists(file));
    callOnLoop(
        () -> {
          source.close();
          registry.endpoints().get(0).setBehavior(EndpointBehavior.REFUSES);
          return null;
        });
    recordedList.endpointListStarted(EndpointListKind.FULL);
    recordedList.endpointListCompleted();
    start(settings(ProtocolKind.ETCD, null, null, null, null, file));
    await(() -> hasState("a", EndpointState.UP));
    assertTrue(
        callOnLoop(
            () -> source.status().ageNanos() > 0 && source.status().phase() != Phase.CURRENT));
    put("a", EndpointState.DRAINING);
    callOnLoop(
        () -> {
          registry.endpoints().get(0).setBehavior(EndpointBehavior.ANSWERS);
          return null;
        });
    await(() -> hasState("a", EndpointState.DRAINING));
  }

  @ParameterizedTest
  @EnumSource(ProtocolKind.class)
  void writeFailsIfKeyWasModifiedConcurrently(ProtocolKind protocol) throws Exception {
    openEndpoints(1);
    put("a", EndpointState.UP);
    try (RegistryAdminClient adminClient =
        new RegistryAdminClient(vertx, defaultSettings(protocol))) {
      long listedRevision =
          EventLoopWaiter.await(adminClient.list()).stream()
              .filter(one -> one.key().endsWith("/a"))
              .findFirst()
              .orElseThrow()
              .modRevision();
      put("a", EndpointState.DRAINING);
      RegistryRecord.Cache other = RegistryWorkload.cache("a", "127.0.0.1:1", EndpointState.UP);
      assertFalse(
          EventLoopWaiter.await(
              adminClient.write(PREFIX + RecordCodec.CACHES_PREFIX + "a", other, listedRevision)));
      long tip = callOnLoop(() -> registry.revision());
      assertTrue(
          EventLoopWaiter.await(
              adminClient.write(PREFIX + RecordCodec.CACHES_PREFIX + "b", other, 0)));
      assertTrue(
          EventLoopWaiter.await(
              adminClient.purge("x", new RegistryRecord.Purge(5, 0, System.currentTimeMillis()))));
      assertTrue(callOnLoop(() -> registry.revision()) > tip);
      assertEquals(4, EventLoopWaiter.await(adminClient.list()).size());
    }
  }

  @Test
  void refusedConnectionIsReportedToOperators() throws Exception {
    openEndpoints(1);
    callOnLoop(
        () -> {
          registry.endpoints().get(0).setBehavior(EndpointBehavior.REFUSES);
          return null;
        });
    try (RegistryAdminClient adminClient =
        new RegistryAdminClient(vertx, defaultSettings(ProtocolKind.ETCD))) {
      ExecutionException e =
          assertThrows(ExecutionException.class, () -> EventLoopWaiter.await(adminClient.list()));
      assertTrue(
          e.getCause().getMessage().endsWith("nothing listens there"), e.getCause().getMessage());
    }
  }
}
