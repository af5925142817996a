import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A cache, a parent or the origin that follows PROTOCOL.md, "Gateways to caches". What it does not
 * hold it fills from the source that the request names.
 */
final class Cache implements AutoCloseable {
  /** A request that has come whole. */
  record Want(
      long atNanos, String cache, String id, Map<String, String> fields, int bodyBytes) {}

  /** How a cache answers. */
  interface Behaviour {
    /** After how many milliseconds the answer is written; below 0 for never. */
    long answerAfterMillis(Cache cache, Want want);

    /** How long the returned body is. */
    int bodyBytes(Want want);

    /** After how many bytes an answer stops, with its connection left open; below 0 for whole. */
    default int stopsAfterBytes(Cache cache, Want want) {
      return -1;
    }

    /** Whether the cache held the part when the day began. */
    default boolean heldAtFirst(Cache cache, Want want) {
      return true;
    }

    /** How many milliseconds a fill takes. */
    default long fillMillis(Want want) {
      return 40;
    }
  }

  /** A fill that came to this cache as a source, or a request that came to it. */
  record Arrival(long atNanos, String trafficClass, boolean isFill) {}

  /** All caches by id, as sources of fills. */
  static final Map<String, Cache> WORLD = new ConcurrentHashMap<>();

  static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "cache-timer");
            thread.setDaemon(true);
            return thread;
          });

  final String id;
  final String zone;
  final String kind;
  volatile int port;

  /** The registered size: how many answers at full pace its link carries. */
  int weight = 4;

  final List<Want> wants = Collections.synchronizedList(new ArrayList<>());
  /** All that reached this cache: requests, and fills from it. */
  final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());

  volatile boolean isRunning;
  private final Set<String> kept = ConcurrentHashMap.newKeySet();
  private final Behaviour behaviour;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;
  private final long issuedMillis = System.currentTimeMillis();

  Cache(String id, String zone, String kind, Behaviour behaviour) throws IOException {
    this.id = id;
    this.zone = zone;
    this.kind = kind;
    this.behaviour = behaviour;
    WORLD.put(id, this);
    start();
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Listens, at the same port after a stop. */
  void start() throws IOException {
    ServerSocket listening = new ServerSocket();
    listening.setReuseAddress(true);
    listening.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1024);
    port = listening.getLocalPort();
    server = listening;
    isRunning = true;
    Thread acceptor = new Thread(() -> accept(listening), "cache");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Ends as a process that dies: connections are reset, new ones refused. */
  void stop() throws IOException {
    isRunning = false;
    kept.clear();
    server.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    sockets.clear();
  }

  private void accept(ServerSocket listening) {
    try {
      while (true) {
        Socket socket = listening.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread reader = new Thread(() -> read(socket), "cache-connection");
        reader.setDaemon(true);
        reader.start();
      }
    } catch (IOException e) {
      // It was stopped.
    }
  }

  private void read(Socket socket) {
    Set<String> open = ConcurrentHashMap.newKeySet();
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
      while (true) {
        List<byte[]> command = readCommand(in);
        String name = text(command.get(0));
        switch (name) {
          case "want" -> want(socket, open, command);
          case "never_mind" -> open.remove(text(command.get(1)));
          default -> write(socket, List.of(command.get(1), bytes("yes"), bytes("-"), bytes("")), -1);
        }
      }
    } catch (IOException e) {
      // The gateway has closed the connection, or this cache has stopped.
    } finally {
      sockets.remove(socket);
    }
  }

  private void want(Socket socket, Set<String> open, List<byte[]> command) {
    String requestId = text(command.get(1));
    Map<String, String> fields = new HashMap<>();
    for (String field : text(command.get(2)).split(",")) {
      int at = field.indexOf('=');
      if (at > 0) {
        fields.put(field.substring(0, at), field.substring(at + 1));
      }
    }
    Want want = new Want(System.nanoTime(), id, requestId, fields, command.get(3).length);
    wants.add(want);
    arrivals.add(new Arrival(want.atNanos, fields.get("kind"), false));
    open.add(requestId);
    long afterMillis = behaviour.answerAfterMillis(this, want);
    if (afterMillis < 0) {
      return;
    }
    String part = fields.get("obj") + "/" + fields.get("seg");
    if (kept.contains(part) || !kind.equals("small-box") || behaviour.heldAtFirst(this, want)) {
      after(afterMillis, () -> answer(socket, open, want, "ok", "h"));
      return;
    }
    Cache source = fields.containsKey("miss") ? WORLD.get(fields.get("miss")) : null;
    if (source == null) {
      after(5, () -> answer(socket, open, want, "nothing", null));
    } else if (!source.isRunning) {
      after(5, () -> answer(socket, open, want, "refused", "b"));
    } else {
      source.arrivals.add(new Arrival(System.nanoTime(), fields.get("kind"), true));
      if (!fields.getOrDefault("prio", "0").equals("0")) {
        kept.add(part);
      }
      after(
          afterMillis + behaviour.fillMillis(want),
          () -> answer(socket, open, want, "ok", source.kind.equals("origin") ? "o" : "f"));
    }
  }

  private static void after(long millis, Runnable task) {
    TIMER.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  private void answer(Socket socket, Set<String> open, Want want, String word, String note) {
    if (!open.remove(want.id)) {
      return;
    }
    String object = want.fields.get("obj") + "/" + want.fields.get("seg");
    boolean isOk = word.equals("ok");
    String answer =
        (isOk ? "entity=" + tag(object) + ",issued=" + issuedMillis + "," : "")
            + (note == null ? "" : "res=" + note);
    try {
      write(
          socket,
          List.of(
              bytes(want.id),
              bytes(word),
              bytes(answer.isEmpty() ? "-" : answer),
              isOk ? content(object, behaviour.bodyBytes(want)) : bytes("")),
          behaviour.stopsAfterBytes(this, want));
    } catch (IOException e) {
      // The connection has ended.
    }
  }

  static String tag(String object) {
    return String.format("%016x", new Random(object.hashCode()).nextLong());
  }

  /** The bytes of a part. */
  static byte[] content(String object, int length) {
    byte[] content = new byte[length];
    new Random(object.hashCode()).nextBytes(content);
    return content;
  }

  private static void write(Socket socket, List<byte[]> elements, int stopsAfterBytes)
      throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(bytes("*" + elements.size() + "\r\n"));
    for (byte[] element : elements) {
      out.write(bytes("$" + element.length + "\r\n"));
      out.write(element);
      out.write(bytes("\r\n"));
    }
    synchronized (socket) {
      byte[] answer = out.toByteArray();
      int length = stopsAfterBytes < 0 ? answer.length : Math.min(stopsAfterBytes, answer.length);
      socket.getOutputStream().write(answer, 0, length);
    }
  }

  private static List<byte[]> readCommand(InputStream in) throws IOException {
    int count = Integer.parseInt(readLine(in).substring(1));
    List<byte[]> command = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      byte[] element = new byte[Integer.parseInt(readLine(in).substring(1))];
      int read = in.readNBytes(element, 0, element.length);
      if (read < element.length || in.read() != '\r' || in.read() != '\n') {
        throw new EOFException();
      }
      command.add(element);
    }
    return command;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int read = in.read();
    while (read != '\r') {
      if (read < 0) {
        throw new EOFException();
      }
      line.append((char) read);
      read = in.read();
    }
    in.read();
    return line.toString();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    stop();
  }
}
