package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.amberpath.gateway.pipeline.BatchRouter;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Clients, caches and the journal service, as the protocol has them, round one gateway on loopback.
 */
final class GatewayTestbed implements AutoCloseable {
  static final String OBJECT_ID = "7f3a9c21e0b4d655";
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  static final long TIMEOUT_SECONDS = 10;
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

  final Vertx vertx = Vertx.vertx();
  final ExecutorService threads = Executors.newCachedThreadPool();
  final StubJournal journal = new StubJournal();
  private final List<Closeable> resources = new ArrayList<>();
  Gateway gateway;
  StubCache origin;

  GatewayTestbed() throws IOException {}

  /** A gateway that knows one edge cache and the origin; both listen. */
  StubCache start(Path folder) throws Exception {
    StubCache cache = cache();
    journal.listEndpoint("c0", cache.address(), "box", "ready");
    origin = cache();
    journal.listEndpoint("o0", origin.address(), "origin", "ready");
    start(GatewayOptions.read(environment(folder)), null);
    return cache;
  }

  void start(GatewayOptions options, BatchRouter decisions) throws Exception {
    gateway =
        decisions == null
            ? new Gateway(vertx, options)
            : new Gateway(vertx, options, GatewayExtensions.NONE, decisions);
    gateway
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** The environment of a gateway that is told of what the journal holds now. */
  Map<String, String> environment(Path folder) throws IOException {
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

  StubCache cache() throws IOException {
    StubCache cache = new StubCache();
    resources.add(cache);
    return cache;
  }

  /** An address at which connections neither come up nor are refused. */
  String fullAddress() throws IOException {
    ServerSocket full = new ServerSocket(0, 1, LOOPBACK);
    resources.add(full);
    try {
      while (true) {
        Socket socket = new Socket();
        resources.add(socket);
        socket.connect(full.getLocalSocketAddress(), 200);
      }
    } catch (java.net.SocketTimeoutException e) {
      return "127.0.0.1:" + full.getLocalPort();
    }
  }

  TestClient client() throws IOException {
    return client(gateway.port());
  }

  TestClient client(int port) throws IOException {
    TestClient client = new TestClient(port);
    resources.add(client);
    return client;
  }

  @Override
  public void close() throws IOException {
    for (Closeable one : resources) {
      one.close();
    }
    journal.server.stop(0);
    threads.shutdownNow();
    vertx
        .close()
        .toCompletionStage()
        .toCompletableFuture()
        .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .join();
  }

  /** What a client got for one request: an error's code, or the body. */
  static final class ClientAnswer {
    private final long messageId;
    private final String error;
    private final byte[] body;
    private final boolean isReady;
    private final Map<String, String> fields;

    ClientAnswer(
        long number, String error, byte[] body, boolean status, Map<String, String> fields) {
      this.messageId = number;
      this.error = error;
      this.body = body;
      this.isReady = status;
      this.fields = fields;
    }

    /** The message id of the request. */
    long messageId() {
      return messageId;
    }

    /** The error's code; null where there is none. */
    String error() {
      return error;
    }

    /** The body; null for an error and for a status. */
    byte[] body() {
      return body;
    }

    /** What the answer to a status request says; false for all others. */
    boolean isReady() {
      return isReady;
    }

    /** The details of the result or the error. */
    Map<String, String> fields() {
      return fields;
    }
  }

  static final class TestClient implements Closeable {
    final Socket socket;
    private final MessageUnpacker in;

    TestClient(int port) throws IOException {
      this(new Socket(LOOPBACK, port));
    }

    TestClient(Socket connected) throws IOException {
      socket = connected;
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) TIMEOUT_SECONDS * 1000);
      in = MessagePack.newDefaultUnpacker(socket.getInputStream());
    }

    static Map<String, String> requestFields(int ref, long allowMs, int part) {
      Map<String, String> fields =
          new LinkedHashMap<>(
              Map.of(
                  "ref",
                  String.format("%016x", ref),
                  "lookup",
                  OBJECT_ID,
                  "allow",
                  Long.toString(allowMs),
                  "chunk",
                  Integer.toString(part),
                  "tag",
                  "17",
                  "room",
                  "412.5"));
      return fields;
    }

    static byte[] encodeRequest(long number, String method, Map<String, String> fields, byte[] body)
        throws IOException {
      MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
      packer
          .packArrayHeader(4)
          .packInt(0)
          .packLong(number)
          .packString(method)
          .packArrayHeader(body == null ? 1 : 2)
          .packMapHeader(fields.size());
      for (Map.Entry<String, String> field : fields.entrySet()) {
        packer.packString(field.getKey()).packString(field.getValue());
      }
      if (body != null) {
        packer.packBinaryHeader(body.length).writePayload(body);
      }
      return packer.toByteArray();
    }

    TestClient send(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
      return this;
    }

    TestClient sendRequest(int number, String method, long allowMs, int part) throws IOException {
      return send(encodeRequest(number, method, requestFields(number, allowMs, part), new byte[0]));
    }

    static byte[] encodeCancel(int number) throws IOException {
      MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
      packer
          .packArrayHeader(3)
          .packInt(2)
          .packString("withdraw")
          .packArrayHeader(1)
          .packInt(number);
      return packer.toByteArray();
    }

    TestClient sendCancel(int number) throws IOException {
      return send(encodeCancel(number));
    }

    ClientAnswer requestStatus() throws IOException {
      return send(encodeRequest(9999, "status", Map.of(), null)).receive();
    }

    ClientAnswer receive() throws IOException {
      in.unpackArrayHeader();
      in.unpackInt();
      long number = in.unpackLong();
      String error = null;
      byte[] body = null;
      boolean status = false;
      Map<String, String> fields = Map.of();
      if (in.tryUnpackNil()) {
        in.unpackArrayHeader();
        if (in.getNextFormat().getValueType().isBooleanType()) {
          status = in.unpackBoolean();
        } else {
          body = in.readPayload(in.unpackBinaryHeader());
        }
        fields = map();
      } else {
        in.unpackArrayHeader();
        error = in.unpackString();
        fields = map();
        in.unpackNil();
      }
      return new ClientAnswer(number, error, body, status, fields);
    }

    private Map<String, String> map() throws IOException {
      Map<String, String> fields = new LinkedHashMap<>();
      for (int left = in.unpackMapHeader(); left > 0; left--) {
        fields.put(in.unpackString(), in.unpackString());
      }
      return fields;
    }

    /** Whether the gateway closed the connection, with nothing more on it. */
    boolean isClosed() throws IOException {
      try {
        return !in.hasNext();
      } catch (java.net.SocketException e) {
        return true;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** What came to a cache on one connection. */
  record ReceivedCommand(Socket socket, List<byte[]> elements) {
    String element(int place) {
      return new String(elements.get(place), StandardCharsets.ISO_8859_1);
    }

    String field(String name) {
      for (String field : element(2).split(",", -1)) {
        if (field.startsWith(name + "=")) {
          return field.substring(name.length() + 1);
        }
      }
      return null;
    }

    void reply(String word, String fields, byte[] body) throws IOException {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes("*4\r\n".getBytes(StandardCharsets.ISO_8859_1));
      for (byte[] one :
          List.of(
              elements.get(1),
              word.getBytes(StandardCharsets.ISO_8859_1),
              fields.getBytes(StandardCharsets.ISO_8859_1),
              body)) {
        out.writeBytes(("$" + one.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(one);
        out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
      }
      socket.getOutputStream().write(out.toByteArray());
    }

    void replyOk(String text) throws IOException {
      reply(
          "ok",
          "res=h,entity=4be0c1927d55a6f3,issued=1764576000123",
          text.getBytes(StandardCharsets.UTF_8));
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  final class StubCache implements Closeable {
    final ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
    final BlockingQueue<ReceivedCommand> commands = new LinkedBlockingQueue<>();

    StubCache() throws IOException {
      threads.execute(
          () -> {
            try {
              while (true) {
                Socket socket = server.accept();
                threads.execute(() -> read(socket));
              }
            } catch (IOException e) {
              // Closed.
            }
          });
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    private void read(Socket socket) {
      try (DataInputStream in = new DataInputStream(socket.getInputStream())) {
        while (true) {
          List<byte[]> elements = new ArrayList<>();
          for (int left = length(in); left > 0; left--) {
            elements.add(in.readNBytes(length(in)));
            in.readNBytes(2);
          }
          commands.add(new ReceivedCommand(socket, elements));
        }
      } catch (IOException | NumberFormatException e) {
        // The connection is gone.
      }
    }

    private int length(DataInputStream in) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int one = in.readUnsignedByte(); one != '\n'; one = in.readUnsignedByte()) {
        line.append((char) one);
      }
      return Integer.parseInt(line.substring(1).trim());
    }

    /** The next command; fails the test when none comes. */
    ReceivedCommand nextCommand() throws InterruptedException {
      ReceivedCommand next = commands.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(next, "nothing came to the cache");
      return next;
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /** Long poll over HTTP: a reply comes when there is more, or after the wait. */
  final class StubJournal {
    final HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
    final BlockingQueue<String> polls = new LinkedBlockingQueue<>();
    private final List<String> entries = new ArrayList<>();

    /** What replies are instead, while it is set: an empty one never comes. */
    volatile String replyOverride;

    /** Whether the next reply stops in its midst, on a connection that stays open. */
    volatile boolean truncatesNextReply;

    StubJournal() throws IOException {
      server.createContext("/journal", this::answer);
      server.setExecutor(threads);
      server.start();
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized String entriesSince(int tail) {
      return "{\"pos\":"
          + entries.size()
          + ",\"entries\":["
          + String.join(",", entries.subList(Math.min(tail, entries.size()), entries.size()))
          + "]}";
    }

    synchronized void addEntry(String event) {
      entries.add("{\"pos\":" + (entries.size() + 1) + "," + event + "}");
      notifyAll();
    }

    void listEndpoint(String id, String address, String kind, String state) {
      addEntry(
          "\"hosts\":{\"generation\":1,\"reset\":false,\"instances\":[{\"instanceId\":\""
              + id
              + "\",\"hostPort\":\""
              + address
              + "\",\"zone\":\"z\",\"machineType\":\""
              + kind
              + "\",\"cell\":0,\"lifecycle\":\""
              + state
              + "\",\"weight\":4,\"startedAtMs\":0}]}");
    }

    private void answer(HttpExchange exchange) throws IOException {
      String query = exchange.getRequestURI().getQuery();
      polls.add(query);
      int tail = Integer.parseInt(query.replaceAll(".*tail=(\\d+).*", "$1"));
      long until =
          System.nanoTime()
              + Long.parseLong(query.replaceAll(".*max_wait=(\\d+).*", "$1")) * 1_000_000;
      String reply = replyOverride;
      try {
        synchronized (this) {
          while ((reply == null && entries.size() <= tail && System.nanoTime() < until)
              || "".equals(reply)) {
            wait(20);
            reply = replyOverride;
          }
        }
      } catch (InterruptedException e) {
        return;
      }
      byte[] bytes = (reply == null ? entriesSince(tail) : reply).getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(200, bytes.length);
      if (truncatesNextReply && bytes.length > 40) {
        truncatesNextReply = false;
        exchange.getResponseBody().write(bytes, 0, bytes.length / 2);
        exchange.getResponseBody().flush();
        return;
      }
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(bytes);
      }
    }
  }

  /**
   * The same with some of its text replaced: pairs of what is there and what stands there instead.
   */
  Map<String, String> environment(Path folder, String... changes) throws IOException {
    Map<String, String> environment = environment(folder);
    Path file = Path.of(environment.get("PROXY_CONFIG"));
    String text = Files.readString(file);
    for (int at = 0; at < changes.length; at += 2) {
      text = text.replace(changes[at], changes[at + 1]);
    }
    Files.writeString(file, text);
    return environment;
  }

  /** Runs something on the event loop of the gateway, which stands still meanwhile. */
  void runOnEventLoop(Runnable what) {
    gateway.context().runOnContext(turn -> what.run());
  }

  /** What runs beside a test, until it fails or its thread is interrupted. */
  interface BackgroundTask {
    void run() throws Exception;
  }

  /** Runs a task on another thread; its failure, such as that of a closed socket, ends it alone. */
  void runInBackground(BackgroundTask task) {
    threads.execute(
        () -> {
          try {
            task.run();
          } catch (Exception e) {
            // The test sees what the task did, or did not do.
          }
        });
  }

  // ---- Faults that endpoints and the journal play by themselves.

  /** What a cache does with each want, by itself. */
  interface CommandHandler {
    void handle(ReceivedCommand command) throws Exception;
  }

  /** A want and when it had come. */
  record TimedCommand(ReceivedCommand command, long atNanos) {}

  /**
   * Has a cache react by itself from now on; what is returned grows with the commands that come.
   */
  List<TimedCommand> handleCommands(StubCache cache, CommandHandler reaction) {
    List<TimedCommand> seen = new CopyOnWriteArrayList<>();
    threads.execute(
        () -> {
          try {
            while (true) {
              ReceivedCommand next = cache.commands.take();
              seen.add(new TimedCommand(next, System.nanoTime()));
              if (next.element(0).equals("want")) {
                threads.execute(() -> handleOnce(reaction, next));
              }
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    return seen;
  }

  private static void handleOnce(CommandHandler reaction, ReceivedCommand command) {
    try {
      reaction.handle(command);
    } catch (Exception e) {
      // The gateway has closed this connection, or the test is over.
    }
  }

  /**
   * A gateway that knows so many edge caches, c0 and up, and the origin; it asks the journal at the
   * given address.
   */
  List<StubCache> start(Path folder, int many, String journalAddress) throws Exception {
    List<StubCache> caches = new ArrayList<>();
    for (int at = 0; at < many; at++) {
      caches.add(cache());
      journal.listEndpoint("c" + at, caches.get(at).address(), "box", "ready");
    }
    origin = cache();
    journal.listEndpoint("o0", origin.address(), "origin", "ready");
    start(options(folder, journalAddress), null);
    return caches;
  }

  /** What a configuration says that names this journal. */
  GatewayOptions options(Path folder, String journalAddress) throws IOException {
    Path file = Path.of(environment(folder).get("PROXY_CONFIG"));
    Path next = Files.createTempFile(folder, "config", ".json");
    Files.writeString(
        next,
        Files.readString(file)
            .replace("\"journal\":\"" + journal.address(), "\"journal\":\"" + journalAddress));
    return GatewayOptions.read(Map.of("PROXY_CONFIG", next.toString()));
  }

  /** Another journal service, which holds what the first one holds now. */
  StubJournal copyOfJournal() throws IOException {
    StubJournal second = new StubJournal();
    synchronized (journal) {
      second.entries.addAll(journal.entries);
    }
    resources.add(() -> second.server.stop(0));
    return second;
  }

  /** An address that refuses connections, and that nobody else takes meanwhile. */
  String refusingAddress() throws IOException {
    Socket reserved = new Socket();
    resources.add(reserved);
    reserved.bind(new InetSocketAddress(LOOPBACK, 0));
    return "127.0.0.1:" + reserved.getLocalPort();
  }

  JournalRelay relay(StubJournal to) throws IOException {
    JournalRelay relay = new JournalRelay(to);
    resources.add(relay);
    return relay;
  }

  /** A way to a journal that can be slow, crowded or closed. */
  final class JournalRelay implements Closeable {
    private static final int CHUNK_BYTES = 65_536;

    private final StubJournal to;

    /** Bound and never used: keeps the port while nothing listens there. */
    private final Socket reserved = new Socket();

    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private ServerSocket server;
    private int accepted;

    /** How much longer each reply takes. */
    volatile long delayMillis;

    /**
     * Of so many connections one is served, with one reply, and the others are reset; 0: all are
     * served.
     */
    volatile int resetsAllButOneOf;

    JournalRelay(StubJournal to) throws IOException {
      this.to = to;
      reserved.setReuseAddress(true);
      reserved.bind(new InetSocketAddress(LOOPBACK, 0));
      listen();
    }

    String address() {
      return "127.0.0.1:" + reserved.getLocalPort();
    }

    /** Listens, for the first time or again. */
    void listen() throws IOException {
      ServerSocket listening = new ServerSocket();
      listening.setReuseAddress(true);
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (!listening.isBound()) {
        try {
          listening.bind(new InetSocketAddress(LOOPBACK, reserved.getLocalPort()));
        } catch (BindException e) {
          if (System.nanoTime()
              > until) { // The one before is being let go by the thread that accepts there.
            throw e;
          }
          Thread.onSpinWait();
        }
      }
      server = listening;
      threads.execute(
          () -> {
            try {
              while (true) {
                accepted(listening.accept());
              }
            } catch (IOException e) {
              // Closed.
            }
          });
    }

    /** Refuses connections from now on, and resets those that are open. */
    void refuseConnections() throws IOException {
      server.close();
      resetConnections();
    }

    /** Resets the connections that are open. */
    void resetConnections() throws IOException {
      for (Socket one = sockets.poll(); one != null; one = sockets.poll()) {
        reset(one);
      }
    }

    private void accepted(Socket from) throws IOException {
      if (resetsAllButOneOf > 0 && accepted++ % resetsAllButOneOf != 0) {
        reset(from);
        return;
      }
      Socket on = new Socket(LOOPBACK, to.server.getAddress().getPort());
      sockets.add(from);
      sockets.add(on);
      AtomicBoolean asked = new AtomicBoolean();
      threads.execute(() -> pump(from, on, () -> asked.set(true)));
      threads.execute(
          () ->
              pump(
                  on,
                  from,
                  () -> {
                    if (asked.getAndSet(false)) {
                      Thread.sleep(delayMillis);
                    }
                  }));
    }

    private void pump(Socket from, Socket on, BeforeChunk before) {
      try (from;
          on) {
        byte[] bytes = new byte[CHUNK_BYTES];
        for (int read = from.getInputStream().read(bytes);
            read >= 0;
            read = from.getInputStream().read(bytes)) {
          before.call();
          on.getOutputStream().write(bytes, 0, read);
        }
      } catch (Exception e) {
        // One side is gone.
      }
    }

    private static void reset(Socket socket) throws IOException {
      try {
        socket.setSoLinger(true, 0);
      } catch (SocketException e) {
        // It is closed already.
      }
      socket.close();
    }

    @Override
    public void close() throws IOException {
      refuseConnections();
      reserved.close();
    }
  }

  private interface BeforeChunk {
    void call() throws Exception;
  }
}
