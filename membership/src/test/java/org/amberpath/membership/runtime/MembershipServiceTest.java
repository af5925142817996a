package org.amberpath.membership.runtime;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Filter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.routing.EndpointHealthStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests two services on loopback sockets, the admin endpoint, and the causes of failed starts. */
class MembershipServiceTest {
  private static final SocketAddress ANY_PORT = SocketAddress.inetSocketAddress(0, "127.0.0.1");
  private static final long PROBE_INTERVAL_NANOS = 100_000_000;
  private static final long TIMEOUT_SECONDS = 20;
  private static final String KEY = "k1 0123456789abcdef0123456789abcdef";
  private static final String OPTIONS =
      """
      {"seed":"1","listen":"127.0.0.1:0","settings":{"my-zone":"z","zones":["z"],"kinds":["edge"],
      "replicas-of-me":2,"classes":[{"name":"clips","idempotency":"repeatable","target-s":0.4,
      "points":1,"hard-limit-s":2}]}}""";

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  @TempDir private Path folder;

  @AfterEach
  void closeVertx() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private <T> T onEventLoop(Callable<T> action) throws Exception {
    Promise<T> done = Promise.promise();
    vertx.runOnContext(
        turn -> {
          try {
            done.complete(action.call());
          } catch (Exception e) {
            done.fail(e);
          }
        });
    return await(done.future());
  }

  private MembershipService createService(
      String name,
      String keyLines,
      List<SocketAddress> seeds,
      FleetMessageHandler.Factory handlerFactory)
      throws Exception {
    Path keyFile = Files.writeString(folder.resolve(name.length() + "keys"), keyLines);
    Path config = Files.writeString(folder.resolve("config"), OPTIONS);
    GatewayOptions options =
        GatewayOptions.read(Map.of("PROXY_CONFIG", config.toString(), "PROXY_NAME", name), false);
    MembershipSettings settings =
        new MembershipSettings(
            "stores", ANY_PORT, null, seeds, 0, PROBE_INTERVAL_NANOS, keyFile, null);
    return onEventLoop(
        () ->
            new MembershipService(
                vertx, settings, options, new IgnoredCallbacks(), handlerFactory));
  }

  private MembershipService startService(
      String name, List<SocketAddress> seeds, FleetMessageHandler.Factory handlerFactory)
      throws Exception {
    MembershipService service = createService(name, KEY, seeds, handlerFactory);
    await(onEventLoop(service::start));
    return service;
  }

  private SocketAddress addressOf(MembershipService service) throws Exception {
    String text = onEventLoop(() -> service.protocol().orElseThrow().self().address());
    return GatewayOptions.address("address", text);
  }

  @Test
  void memberJoinsThroughASeedAndItsMessageReachesTheSeedsHandler() throws Exception {
    Promise<byte[]> received = Promise.promise();
    MembershipService seed =
        startService(
            "g1",
            List.of(),
            (v, service) -> new BroadcastingHandler(service, received::tryComplete));
    MembershipService joining =
        startService(
            "g22",
            List.of(addressOf(seed)),
            (v, service) -> new BroadcastingHandler(service, body -> {}));
    assertArrayEquals(new byte[] {4, 2}, await(received.future()));
    assertEquals(List.of("g1", "g22"), onEventLoop(joining::presentNames));
    await(onEventLoop(joining::close));
    await(onEventLoop(seed::close));
  }

  @Test
  void adminEndpointShowsTheMembersAndAnswersConflictForAMemberThatIsNotLost() throws Exception {
    MembershipService service = createService("g1", KEY, List.of(), null);
    AdminEndpoint admin = onEventLoop(() -> new AdminEndpoint(vertx, service, service.handler()));
    int port = await(onEventLoop(() -> admin.listen(ANY_PORT)));
    assertEquals(503, responseStatus(port, HttpMethod.GET, AdminEndpoint.MEMBERS_PATH));
    await(onEventLoop(service::start));
    JsonObject members = new JsonObject(responseBody(port, AdminEndpoint.MEMBERS_PATH));
    assertEquals(
        Set.of(
            "name",
            "fleet",
            "phase",
            "there",
            "told",
            "counted",
            "part",
            "address",
            "incarnation",
            "gateways",
            "datagrams"),
        members.fieldNames());
    assertEquals(2, members.getInteger("told"));
    assertTrue(members.getJsonObject("datagrams").containsKey("other_key"), members.encode());
    assertEquals(409, responseStatus(port, HttpMethod.POST, AdminEndpoint.FORGET_PATH + "g2"));
    assertEquals(404, responseStatus(port, HttpMethod.GET, AdminEndpoint.TASKS_PATH));
    await(onEventLoop(service::close));
  }

  @Test
  void startFailsWithAnInvalidKeyFile() throws Exception {
    MembershipService service = createService("g1", "k1 xyz", List.of(), null);
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> await(onEventLoop(service::start)));
    assertInstanceOf(MembershipException.InvalidKeyFile.class, failure.getCause());
  }

  @Test
  void startFailsWithoutAKeyFile() throws Exception {
    MembershipService service = createService("g1", KEY, List.of(), null);
    Files.delete(folder.resolve("2keys"));
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> await(onEventLoop(service::start)));
    assertInstanceOf(MembershipException.StartFailed.class, failure.getCause());
    String message = failure.getCause().getMessage();
    assertTrue(message.startsWith("[fleet]: membership cannot start: "), message);
    assertTrue(message.contains("NoSuchFileException"), message);
  }

  @Test
  void startFailsWithAnInvalidName() throws Exception {
    MembershipService service = createService("no name", KEY, List.of(), null);
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> await(onEventLoop(service::start)));
    assertInstanceOf(MembershipException.InvalidName.class, failure.getCause());
    assertEquals(
        "PROXY_NAME: with [fleet], expected 1 to 32 letters, digits, '.', '_' or '-',"
            + " but is no name",
        failure.getCause().getMessage());
  }

  @Test
  void failedReloadLogsTheCauseAndTheFile() throws Exception {
    MembershipService service = startService("g1", List.of(), null);
    Path keyFile = folder.resolve("2keys");
    Files.delete(keyFile);
    Logger logger = Logger.getLogger(MembershipService.class.getName());
    CompletableFuture<LogRecord> warning = new CompletableFuture<>();
    Filter original = logger.getFilter();
    logger.setFilter(
        logged -> !logged.getLevel().equals(Level.WARNING) || !warning.complete(logged));
    try {
      onEventLoop(
          () -> {
            service.reload();
            return null;
          });
      assertEquals(
          "g1: membership: keys_unchanged reason=java.nio.file.NoSuchFileException: " + keyFile,
          warning.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getMessage());
    } finally {
      logger.setFilter(original);
    }
    await(onEventLoop(service::close));
  }

  private int responseStatus(int port, HttpMethod method, String path) throws Exception {
    HttpClient client = vertx.createHttpClient();
    return await(
        client
            .request(method, port, "127.0.0.1", path)
            .compose(request -> request.send())
            .map(response -> response.statusCode()));
  }

  private String responseBody(int port, String path) throws Exception {
    HttpClient client = vertx.createHttpClient();
    return await(
        client
            .request(HttpMethod.GET, port, "127.0.0.1", path)
            .compose(request -> request.send())
            .compose(response -> response.body())
            .map(Buffer::toString));
  }

  /** Sends a message to each other present member at each tick. */
  private record BroadcastingHandler(MembershipService service, Consumer<byte[]> receiver)
      implements FleetMessageHandler {
    @Override
    public void membershipStarted(long nowNanos) {}

    @Override
    public void tick(long nowNanos) {
      service.presentNames().stream()
          .filter(name -> !name.equals(service.name()))
          .forEach(name -> service.sendMessage(name, new byte[] {4, 2}));
    }

    @Override
    public void messageReceived(long nowNanos, String sender, byte[] body) {
      receiver.accept(body);
    }

    @Override
    public void endpointHealthChanged(
        long nowNanos, String endpointId, EndpointHealthStatus health) {}

    @Override
    public void endpointWarmingUp(long nowNanos, String endpointId, long untilNanos) {}

    @Override
    public void settingsReloaded() {}

    @Override
    public void drainStarted(long nowNanos) {}

    @Override
    public JsonObject status(long nowNanos) {
      return new JsonObject();
    }

    @Override
    public boolean release(long nowNanos, String name) {
      return false;
    }

    @Override
    public void close(long nowNanos) {}
  }

  /** Ignores all reports to the router, which these tests do not check. */
  private static final class IgnoredCallbacks implements FleetCallbacks {
    @Override
    public void quotaShareChanged(int gateways, double share) {}

    @Override
    public void healthChecksCentralized(boolean centralized) {}

    @Override
    public void healthCheckReported(String endpointId, boolean answered, long ageNanos) {}

    @Override
    public boolean sendSyntheticRequest(
        String endpointId, long timeoutNanos, Consumer<SyntheticOutcome> completion) {
      return false;
    }
  }
}
