package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.amberpath.gateway.testsupport.ClientAnswer;
import org.amberpath.gateway.testsupport.Conditions;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.amberpath.gateway.testsupport.ReceivedCommand;
import org.amberpath.gateway.testsupport.StubCache;
import org.amberpath.gateway.testsupport.TestClient;
import org.amberpath.gateway.transport.AcceptLimit;
import org.amberpath.gateway.transport.SingleEventLoopTransport;
import org.amberpath.gateway.transport.SystemCalls;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingEventHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The responses to clients and the outcomes attributed to endpoints while system calls fail
 * (docs/design/endings.md).
 */
@Timeout(60)
class SystemCallFailuresTest {
  private static final int ALWAYS = Integer.MAX_VALUE;

  /** System calls that fail, or transfer one byte at a time, as set by the fields. */
  private static final class FailingSystemCalls extends SystemCalls {
    final AtomicInteger acceptCount = new AtomicInteger();
    final AtomicInteger openCount = new AtomicInteger();
    final AtomicInteger connectCount = new AtomicInteger();
    volatile int acceptFailures;
    volatile int openFailures;
    volatile int connectFailures;
    volatile Predicate<Integer> affectedPorts = port -> true;
    volatile IOException failure = new SocketException("Too many open files");
    volatile IOException readFailure;
    volatile boolean shortTransfers;

    @Override
    public SocketChannel accept(ServerSocketChannel from) throws IOException {
      if (acceptCount.getAndIncrement() < acceptFailures) {
        throw failure;
      }
      return super.accept(from);
    }

    @Override
    public Channel openSocket() {
      if (openCount.getAndIncrement() < openFailures) {
        throw new ChannelException("Failed to open a socket.", failure);
      }
      return new FailingSocketChannel(this);
    }
  }

  /**
   * A connection to an endpoint on which calls fail, or transfer one byte at a time and are
   * interrupted, that is transfer nothing, every other time.
   */
  private static final class FailingSocketChannel extends NioSocketChannel {
    private final FailingSystemCalls systemCalls;
    private boolean interrupted;

    FailingSocketChannel(FailingSystemCalls systemCalls) {
      this.systemCalls = systemCalls;
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
      if (systemCalls.affectedPorts.test(((InetSocketAddress) remote).getPort())
          && systemCalls.connectCount.getAndIncrement() < systemCalls.connectFailures) {
        doClose();
        throw systemCalls.failure;
      }
      return super.doConnect(remote, local);
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
      if (systemCalls.readFailure != null) {
        throw systemCalls.readFailure;
      }
      interrupted ^= systemCalls.shortTransfers;
      return !systemCalls.shortTransfers
          ? super.doReadBytes(into)
          : interrupted ? 0 : into.writeBytes(javaChannel(), 1);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
      if (!systemCalls.shortTransfers) {
        super.doWrite(out);
        return;
      }
      interrupted ^= true;
      ByteBuf next = (ByteBuf) out.current();
      if (next != null && !interrupted) {
        out.removeBytes(next.getBytes(next.readerIndex(), javaChannel(), 1));
      }
      if (out.isEmpty()) {
        removeAndSubmit(NioIoOps.WRITE);
      } else {
        addAndSubmit(NioIoOps.WRITE);
      }
    }
  }

  /** Collects the messages of one logger while it is open. */
  private static final class LogRecorder extends Handler {
    final Queue<String> messages = new ConcurrentLinkedQueue<>();
    private final Logger logger;

    LogRecorder(String loggerName) {
      logger = Logger.getLogger(loggerName);
      logger.addHandler(this);
    }

    @Override
    public void publish(LogRecord line) {
      messages.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
      logger.removeHandler(this);
    }
  }

  private final LogRecorder acceptLog =
      new LogRecorder("org.amberpath.gateway.transport.BoundedServerChannel");
  private final LogRecorder connectLog =
      new LogRecorder("org.amberpath.gateway.cache.CacheConnector");

  @TempDir private Path folder;
  private final FailingSystemCalls systemCalls = new FailingSystemCalls();
  private final Queue<AttemptOutcome> outcomes = new ConcurrentLinkedQueue<>();
  private GatewayTestbed testbed;
  private Vertx vertx;
  private StubCache cache;

  @BeforeEach
  void createTestbed() throws Exception {
    testbed = new GatewayTestbed();
    vertx =
        Vertx.builder()
            .withTransport(SingleEventLoopTransport.transport(systemCalls))
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    cache = testbed.cache();
    testbed.journal.listEndpoint("c0", cache.address(), "box", "ready");
  }

  @AfterEach
  void closeTestbed() throws Exception {
    acceptLog.close();
    connectLog.close();
    testbed.close();
    vertx
        .close()
        .toCompletionStage()
        .toCompletableFuture()
        .get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private TestClient startGateway() throws Exception {
    startGateway(GatewayOptions.read(testbed.environment(folder)));
    return testbed.client();
  }

  private void startGateway(GatewayOptions options) throws Exception {
    RequestRouter router = new RequestRouter(options.routingConfig());
    testbed.gateway =
        new Gateway(
            vertx,
            options,
            GatewayExtensions.NONE,
            (now, in, to) -> router.decide(now, events -> in.replayTo(recordOutcomes(events)), to));
    testbed
        .gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Records the outcome of each attempt before it is passed to the router. */
  private RoutingEventHandler recordOutcomes(RoutingEventHandler to) {
    return (RoutingEventHandler)
        Proxy.newProxyInstance(
            SystemCallFailuresTest.class.getClassLoader(),
            new Class<?>[] {RoutingEventHandler.class},
            (proxy, event, arguments) -> {
              if (event.getName().equals("attemptEnded")) {
                outcomes.add(((AttemptResult) arguments[0]).outcome());
              }
              return event.invoke(to, arguments);
            });
  }

  private static String text(ClientAnswer answer) {
    assertNull(answer.error());
    return new String(answer.body(), StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Too many open files",
        "Too many open files in system",
        "No buffer space available",
        "Cannot allocate memory",
        "Software caused connection abort"
      })
  void failedAcceptIsRetriedWithinMillisecondsWithoutABusyLoop(String message) throws Exception {
    startGateway();
    systemCalls.failure = new IOException(message);
    systemCalls.acceptCount.set(0);
    systemCalls.acceptFailures = 6;
    long startNanos = System.nanoTime();
    assertEquals(9999, testbed.client().requestStatus().messageId());
    long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
    assertTrue(
        elapsedMillis >= 10 + 20 + 40 + 80 + 100 + 100 && elapsedMillis < 3000,
        elapsedMillis + " ms");
    assertTrue(systemCalls.acceptCount.get() <= 12, systemCalls.acceptCount + " calls");
    assertEquals(
        List.of("accept failed: " + message + "; retrying with backoff"),
        List.copyOf(acceptLog.messages));
  }

  @Test
  void acceptedConnectionReportsItsTimeInThePausedAcceptQueue() throws Exception {
    Queue<Long> queuedNanos = new ConcurrentLinkedQueue<>();
    SingleEventLoopTransport.limitNextServer(vertx, new AcceptLimit(4, System::nanoTime));
    int port =
        vertx
            .createNetServer()
            .connectHandler(socket -> queuedNanos.add(AcceptLimit.queuedNanos(socket)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .get(GatewayTestbed.TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .actualPort();
    systemCalls.acceptFailures = 4;
    testbed.client(port);
    testbed.client(port);
    Conditions.await(() -> queuedNanos.size() == 2, "both connections are accepted");
    for (int connection = 0; connection < 2; connection++) {
      assertTrue(queuedNanos.remove() >= 150_000_000);
    }
    testbed.client(port);
    Conditions.await(() -> queuedNanos.size() == 1, "the third connection is accepted");
    assertEquals(0, queuedNanos.remove());
  }

  @ParameterizedTest
  @CsvSource({
    "true, Too many open files",
    "true, Too many open files in system",
    "true, Cannot allocate memory",
    "false, No buffer space available",
    "false, Network is unreachable",
    "false, Cannot assign requested address"
  })
  void connectThatFailsLocallyIsRetriedAndNotBlamedOnTheEndpoint(boolean openFails, String message)
      throws Exception {
    TestClient client = startGateway();
    systemCalls.failure =
        message.startsWith("Cannot assign")
            ? new BindException(message)
            : new SocketException(message);
    systemCalls.openCount.set(0);
    systemCalls.connectCount.set(0);
    systemCalls.openFailures = openFails ? 3 : 0;
    systemCalls.connectFailures = openFails ? 0 : 3;
    client.sendRequest(1, "orders", 5000, 0);
    cache.nextCommand().replyOk("served");
    assertEquals("served", text(client.receive()));
    Conditions.await(() -> !outcomes.isEmpty(), "the attempt has ended");
    assertEquals("[SUCCEEDED]", outcomes.toString());
  }

  @Test
  void requestIsServedByAnotherEndpointIfConnectsKeepFailingLocally() throws Exception {
    StubCache other = testbed.cache();
    testbed.journal.listEndpoint("c1", other.address(), "box", "ready");
    TestClient client = startGateway();
    int[] failingPort = {0};
    systemCalls.affectedPorts =
        port -> (failingPort[0] = failingPort[0] == 0 ? port : failingPort[0]) == port;
    systemCalls.connectCount.set(0);
    systemCalls.connectFailures = ALWAYS;
    client.sendRequest(1, "orders", 5000, 0);
    Conditions.await(
        () -> !cache.commands.isEmpty() || !other.commands.isEmpty(),
        "a command is received by one of the caches");
    ReceivedCommand command = cache.commands.isEmpty() ? other.nextCommand() : cache.nextCommand();
    assertFalse(command.socket().getLocalPort() == failingPort[0]);
    command.replyOk("served");
    assertEquals("served", text(client.receive()));
    Conditions.await(() -> outcomes.size() == 2, "both attempts have ended");
    assertEquals("[NOT_SENT, SUCCEEDED]", outcomes.toString());
    assertTrue(systemCalls.connectCount.get() <= 6, systemCalls.connectCount + " calls");
  }

  @Test
  void attemptThatTimesOutWhileConnectsFailLocallyIsBlamedOnNoEndpoint() throws Exception {
    TestClient client = startGateway();
    systemCalls.connectCount.set(0);
    systemCalls.connectFailures = ALWAYS;
    client.sendRequest(1, "orders", 120, 0);
    assertNotNull(client.receive().error());
    Conditions.await(() -> !outcomes.isEmpty(), "the attempt has ended");
    assertFalse(outcomes.contains(AttemptOutcome.CONNECT_FAILED), outcomes.toString());
    String logged = connectLog.messages.remove();
    assertTrue(
        logged.startsWith(
                "c0 at "
                    + cache.address()
                    + ": connect failed on this host, LOCAL_RESOURCE: Too many open files")
            && logged.endsWith("; retrying with backoff"),
        logged);
    systemCalls.connectFailures = 0;
    client.sendRequest(2, "orders", 5000, 0);
    cache.nextCommand().replyOk("served");
    assertEquals("served", text(client.receive()));
  }

  @Test
  void refusedConnectIsBlamedOnItsEndpoint() throws Exception {
    TestClient client = startGateway();
    systemCalls.failure = new ConnectException("Connection refused");
    systemCalls.connectCount.set(0);
    systemCalls.connectFailures = ALWAYS;
    client.sendRequest(1, "orders", 5000, 0);
    assertEquals("Overloaded", client.receive().error());
    assertTrue(outcomes.contains(AttemptOutcome.CONNECT_FAILED), outcomes.toString());
  }

  @ParameterizedTest
  @ValueSource(strings = {"Connection timed out", "No route to host", "Connection reset by peer"})
  void requestOnAConnectionThatFailsMayHaveBeenExecuted(String message) throws Exception {
    TestClient client = startGateway();
    client.sendRequest(1, "orders", 5000, 0);
    ReceivedCommand command = cache.nextCommand();
    systemCalls.readFailure =
        message.startsWith("No route")
            ? new NoRouteToHostException(message)
            : new IOException(message);
    command.replyOk("read by nobody");
    assertEquals("Internal", client.receive().error());
    assertEquals("[CONNECTION_LOST]", outcomes.toString());
  }

  @Test
  void shortAndInterruptedReadsAndWritesChangeNothing() throws Exception {
    TestClient client = startGateway();
    systemCalls.shortTransfers = true;
    client.sendRequest(1, "orders", 9000, 0);
    String body = "p".repeat(3000);
    cache.nextCommand().replyOk(body);
    assertEquals(body, text(client.receive()));
  }

  @Test
  void journalPollThatFailsLocallyIsRetried() throws Exception {
    GatewayOptions options = GatewayOptions.read(testbed.environment(folder));
    int journalPort = testbed.journal.server.getAddress().getPort();
    systemCalls.affectedPorts = port -> port == journalPort;
    systemCalls.connectFailures = 3;
    startGateway(options);
    assertNotNull(
        testbed.journal.polls.poll(), "the gateway serves without having polled the journal");
  }
}
