package org.amberpath.gateway.testsupport;

import io.vertx.core.Vertx;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.Gateway;
import org.amberpath.gateway.GatewayExtensions;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.pipeline.BatchRouter;

/**
 * One gateway on loopback with stub caches, a stub journal and test clients that speak the real
 * protocols. {@link #close} closes all of them.
 */
public final class GatewayTestbed implements AutoCloseable {
  public static final String OBJECT_ID = "7f3a9c21e0b4d655";
  public static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  public static final long TIMEOUT_SECONDS = 10;
  private static final String SETTINGS =
      """
      {"my-zone":"z","zones":["z"],"kinds":["box","parent","origin"],"replicas-of-me":1,
      "weights":"nominal",
      "classes":[{"name":"parts","idempotency":"repeatable","target-s":0.4,"points":2},
      {"name":"orders","idempotency":"once","target-s":0.4},
      {"name":"marks","idempotency":"by_key","window-s":1,"target-s":0.4}],
      "bounds":{"max-attempts":3,"cancel":true,"second-copies":true,
      "retry-after":true,"max-retry-after-s":1,
      "connect-timeout-s":0.4,"conn-idle-s":30,"multiplex":100,"max-open":48},
      "family-info":{"mid-kind":1,"store-kind":2,"flow-kb-per-s":1000,"collapses":true,
      "bypass-allowed":true,
      "purge-takes-s":6,"class-fresh-s":[0,0,0],"never-kept":[false,false,true]},
      "guarantees":{"cold-share":0.2,"cold-s":10,"fall-multiple":3,"fall-s":1}}\
      """;

  public final Vertx vertx = Vertx.vertx();
  public final ExecutorService executor = Executors.newCachedThreadPool();
  public final StubJournal journal = new StubJournal(executor);
  private final List<Closeable> resources = new ArrayList<>();
  public Gateway gateway;
  public StubCache origin;

  /** Creates a testbed with a listening journal and without a gateway. */
  public GatewayTestbed() throws IOException {}

  /**
   * Starts a gateway that knows one edge cache, c0, and the origin, o0; both listen. Returns the
   * edge cache.
   */
  public StubCache start(Path folder) throws Exception {
    StubCache cache = cache();
    journal.listEndpoint("c0", cache.address(), "box", "ready");
    origin = cache();
    journal.listEndpoint("o0", origin.address(), "origin", "ready");
    start(GatewayOptions.read(environment(folder)), null);
    return cache;
  }

  /**
   * Starts a gateway.
   *
   * @param router the router to use; null for the gateway's own
   */
  public void start(GatewayOptions options, BatchRouter router) throws Exception {
    gateway =
        router == null
            ? new Gateway(vertx, options)
            : new Gateway(vertx, options, GatewayExtensions.NONE, router);
    gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Writes a configuration with the journal's present entries to {@code config.json} in the folder
   * and returns the environment variables of a gateway that uses it.
   */
  public Map<String, String> environment(Path folder) throws IOException {
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        "{\"name\":\"n1\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":64,"
            + "\"sockets\":128},\"listen\":\"127.0.0.1:0\",\"journal\":\""
            + journal.address()
            + "\",\"known\":"
            + journal.entriesSince(0)
            + ",\"settings\":"
            + SETTINGS
            + "}");
    return Map.of("PROXY_CONFIG", file.toString());
  }

  /** Creates a listening cache. */
  public StubCache cache() throws IOException {
    StubCache cache = new StubCache(executor);
    resources.add(cache);
    return cache;
  }

  /**
   * Returns an address at which connects time out: the accept backlog of its socket is full, so
   * connections are neither established nor refused.
   */
  public String connectTimeoutAddress() throws IOException {
    ServerSocket server = new ServerSocket(0, 1, LOOPBACK);
    resources.add(server);
    try {
      while (true) {
        Socket socket = new Socket();
        resources.add(socket);
        socket.connect(server.getLocalSocketAddress(), 200);
      }
    } catch (java.net.SocketTimeoutException e) {
      return "127.0.0.1:" + server.getLocalPort();
    }
  }

  /** Connects a client to the gateway. */
  public TestClient client() throws IOException {
    return client(gateway.port());
  }

  /** Connects a client to the given port on loopback. */
  public TestClient client(int port) throws IOException {
    TestClient client = new TestClient(port);
    resources.add(client);
    return client;
  }

  @Override
  public void close() throws IOException {
    for (Closeable resource : resources) {
      resource.close();
    }
    journal.server.stop(0);
    executor.shutdownNow();
    vertx
        .close()
        .toCompletionStage()
        .toCompletableFuture()
        .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .join();
  }

  /**
   * Writes a configuration like {@link #environment(Path)} with some of its text replaced.
   *
   * @param replacements pairs of the text to replace and its replacement
   */
  public Map<String, String> environment(Path folder, String... replacements) throws IOException {
    Map<String, String> environment = environment(folder);
    Path file = Path.of(environment.get("PROXY_CONFIG"));
    String text = Files.readString(file);
    for (int index = 0; index < replacements.length; index += 2) {
      text = text.replace(replacements[index], replacements[index + 1]);
    }
    Files.writeString(file, text);
    return environment;
  }

  /** Runs a task on the gateway's event loop, which is blocked while the task runs. */
  public void runOnEventLoop(Runnable task) {
    gateway.context().runOnContext(ignored -> task.run());
  }

  /**
   * Runs a task on another thread. An exception, such as that of a closed socket, ends the task and
   * does not fail the test.
   */
  public void runInBackground(BackgroundTask task) {
    executor.execute(
        () -> {
          try {
            task.run();
          } catch (Exception e) {
            // The test checks the effects of the task.
          }
        });
  }

  /**
   * Passes each {@code want} command that the cache receives from now on to the handler, on a
   * thread of its own. Returns a thread-safe list to which every received command is added.
   */
  public List<TimedCommand> handleCommands(StubCache cache, CommandHandler handler) {
    List<TimedCommand> received = new CopyOnWriteArrayList<>();
    executor.execute(
        () -> {
          try {
            while (true) {
              ReceivedCommand command = cache.commands.take();
              received.add(new TimedCommand(command, System.nanoTime()));
              if (command.element(0).equals("want")) {
                executor.execute(() -> handleOnce(handler, command));
              }
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    return received;
  }

  private static void handleOnce(CommandHandler handler, ReceivedCommand command) {
    try {
      handler.handle(command);
    } catch (Exception e) {
      // The gateway has closed the connection, or the test has ended.
    }
  }

  /**
   * Starts a gateway that knows the given number of edge caches, with ids from c0, and the origin,
   * and that polls the journal at the given address. Returns the edge caches.
   */
  public List<StubCache> start(Path folder, int cacheCount, String journalAddress)
      throws Exception {
    List<StubCache> caches = new ArrayList<>();
    for (int index = 0; index < cacheCount; index++) {
      caches.add(cache());
      journal.listEndpoint("c" + index, caches.get(index).address(), "box", "ready");
    }
    origin = cache();
    journal.listEndpoint("o0", origin.address(), "origin", "ready");
    start(options(folder, journalAddress), null);
    return caches;
  }

  /** Returns options like those of {@link #environment(Path)} with another journal address. */
  public GatewayOptions options(Path folder, String journalAddress) throws IOException {
    Path file = Path.of(environment(folder).get("PROXY_CONFIG"));
    Path copy = Files.createTempFile(folder, "config", ".json");
    Files.writeString(
        copy,
        Files.readString(file)
            .replace("\"journal\":\"" + journal.address(), "\"journal\":\"" + journalAddress));
    return GatewayOptions.read(Map.of("PROXY_CONFIG", copy.toString()));
  }

  /** Starts another journal service with the present entries of the testbed's journal. */
  public StubJournal copyOfJournal() throws IOException {
    StubJournal copy = new StubJournal(executor);
    copy.copyEntries(journal);
    resources.add(() -> copy.server.stop(0));
    return copy;
  }

  /**
   * Returns an address that refuses connections; its port stays reserved until the testbed closes.
   */
  public String refusingAddress() throws IOException {
    Socket reserved = new Socket();
    resources.add(reserved);
    reserved.bind(new InetSocketAddress(LOOPBACK, 0));
    return "127.0.0.1:" + reserved.getLocalPort();
  }

  /** Starts a relay to a journal. */
  public JournalRelay relay(StubJournal target) throws IOException {
    JournalRelay relay = new JournalRelay(target, executor);
    resources.add(relay);
    return relay;
  }
}
