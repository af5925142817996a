package org.amberpath.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ListedEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the log lines of failed polls and of the first reply after them. */
@Timeout(30)
class JournalClientTest {
  private static final long MAX_REPLY_BYTES = 40;
  private static final Logger LOGGER = Logger.getLogger(JournalClient.class.getName());

  private final Vertx vertx = Vertx.vertx();
  private final BlockingQueue<String> logged = new LinkedBlockingQueue<>();
  private final Handler handler = new QueueingHandler();
  private HttpServer server;
  private String address;
  private volatile int status;
  private volatile String reply;

  @BeforeEach
  void start() throws Exception {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/journal",
        exchange -> {
          byte[] body = reply.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(status, body.length);
          try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
          }
        });
    server.start();
    address = "127.0.0.1:" + server.getAddress().getPort();
    LOGGER.addHandler(handler);
  }

  @AfterEach
  void end() {
    LOGGER.removeHandler(handler);
    vertx.close().toCompletionStage().toCompletableFuture().join();
    server.stop(0);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "503 | {} | HTTP status 503, expected 200",
        "200 | [] | reply cannot be decoded: journal: not an object",
        "200 | {\"entries\":[                           ]} | reply exceeds the limit of 40 bytes"
      })
  void firstFailureAndFirstReplyAfterItAreLogged(int badStatus, String badReply, String reason)
      throws Exception {
    status = badStatus;
    reply = badReply;
    JournalClient client = newClient();
    vertx.runOnContext(start -> client.start());
    assertEquals(
        "journal at " + address + ": poll failed, retrying; known endpoints are kept: " + reason,
        logged.poll(10, TimeUnit.SECONDS));
    status = 200;
    reply = "{\"entries\":[]}";
    String recovery = logged.poll(10, TimeUnit.SECONDS);
    assertEquals(
        "journal at " + address + ": reply received after N failed polls",
        String.valueOf(recovery).replaceFirst("after \\d+ failed", "after N failed"));
    vertx.runOnContext(end -> client.close());
  }

  private JournalClient newClient() {
    Clock clock = new Clock();
    return new JournalClient(
        vertx,
        SocketAddress.inetSocketAddress(server.getAddress().getPort(), "127.0.0.1"),
        new JournalClient.Bounds(100, MAX_REPLY_BYTES),
        new JournalClient.Sinks(
            new JournalDecoder(clock),
            new IgnoringEndpointListener(),
            new DiscoveryFreshness(1_000_000_000, true, clock.nowNanos()),
            () -> {}),
        clock::nowNanos);
  }

  /** Queues the messages that concern this test's journal; other clients use the same logger. */
  private final class QueueingHandler extends Handler {
    @Override
    public void publish(LogRecord entry) {
      if (entry.getMessage().contains(address)) {
        logged.add(entry.getMessage());
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  private static final class IgnoringEndpointListener implements EndpointListener {
    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {}

    @Override
    public void objectPurged(long object, int group, long atMillis) {}
  }
}
