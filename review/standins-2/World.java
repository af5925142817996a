import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the parties around a gateway, by the protocol page: clients, caches and the journal
 * service. All sockets are on 127.0.0.1. Everything that a case needs to judge is written to
 * record.txt of its folder.
 */
public final class World {
  /** Whether the disruption of the case takes place; TROUBLE=0 leaves it out. */
  public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  public static final int HELD = 0;
  public static final int BROKEN = 1;
  public static final int CANNOT_RUN = 2;

  static final long START = System.currentTimeMillis();
  static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          8,
          task -> {
            Thread thread = new Thread(task, "timer");
            thread.setDaemon(true);
            return thread;
          });

  private static PrintWriter record;
  private static Path temporary;
  private static final List<Process> processes = new CopyOnWriteArrayList<>();

  private World() {}

  /**
   * Opens the record, makes sure that started processes end with this one, and has temporary files
   * made in a folder of this run, which {@link #finish} removes.
   */
  public static void open(String folder) throws IOException {
    temporary =
        Path.of(System.getProperty("java.io.tmpdir"), "review-2-" + ProcessHandle.current().pid());
    Files.createDirectories(temporary);
    System.setProperty("java.io.tmpdir", temporary.toString());
    record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), false);
    Runtime.getRuntime().addShutdownHook(new Thread(World::killAll));
    log("trouble=" + TROUBLE);
  }

  /** Writes one line to the record. */
  public static synchronized void log(String line) {
    record.println((System.currentTimeMillis() - START) + " " + line);
  }

  /** Ends the case: ends all processes, closes the record and exits. */
  public static void finish(int code, String verdict) {
    killAll();
    try (var files = Files.walk(temporary)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      log("the temporary folder is not removed: " + e);
    }
    synchronized (World.class) {
      record.println((System.currentTimeMillis() - START) + " result=" + code + " " + verdict);
      record.flush();
    }
    System.out.println("result=" + code + " " + verdict);
    Runtime.getRuntime().halt(code);
  }

  static void killAll() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Ends the case with 2 if it takes longer than the given time. */
  public static void limit(int seconds) {
    TIMER.schedule(
        () -> finish(CANNOT_RUN, "the case took longer than " + seconds + " s"),
        seconds,
        TimeUnit.SECONDS);
  }

  public static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  public static void after(long millis, Runnable task) {
    TIMER.schedule(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log("timer task failed: " + e);
          }
        },
        millis,
        TimeUnit.MILLISECONDS);
  }

  static void thread(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  // ---- The gateway.

  /** A gateway process, started by `run` of the deploy file. */
  public static final class Gateway {
    public final String name;
    public final Process process;
    public volatile int port;
    public final List<String> lines = new CopyOnWriteArrayList<>();
    public volatile boolean serving;

    private Gateway(String name, Process process) {
      this.name = name;
      this.process = process;
    }

    public long pid() {
      return process.pid();
    }

    public void signal(String signal) {
      log(name + " signal " + signal);
      try {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Waits until the gateway's log says that it serves. */
    public Gateway awaitServing(int seconds) {
      long until = System.currentTimeMillis() + seconds * 1000L;
      while (!serving) {
        if (!process.isAlive() || System.currentTimeMillis() > until) {
          lines.forEach(line -> log(name + " log " + line));
          finish(CANNOT_RUN, name + " does not serve");
        }
        sleep(10);
      }
      return this;
    }
  }

  /** Returns the command of a key of the deploy file. */
  static String deployCommand(String key) throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      Matcher matcher = Pattern.compile("^" + key + " = \"(.*?)\".*").matcher(line);
      if (matcher.matches()) {
        return matcher.group(1);
      }
    }
    throw new IOException("deploy/balancer.toml: no " + key);
  }

  /** Starts a gateway with this JSON configuration and, unless null, this deployment file. */
  public static Gateway gateway(String name, String listen, Path config, Path ini)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", deployCommand("run")).redirectErrorStream(true);
    builder.environment().put("PROXY_NAME", name);
    builder.environment().put("PROXY_LISTEN", listen);
    builder.environment().put("PROXY_CONFIG", config.toString());
    builder.environment().remove("AMBERPATH_FILE");
    if (ini != null) {
      builder.environment().put("AMBERPATH_FILE", ini.toString());
    }
    Process process = builder.start();
    processes.add(process);
    Gateway gateway = new Gateway(name, process);
    log(name + " started pid=" + process.pid());
    thread(
        "log of " + name,
        () -> {
          try (var in = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
              gateway.lines.add(line);
              log(name + " log " + line);
              Matcher matcher = Pattern.compile(": listens at [0-9.]+:(\\d+)").matcher(line);
              if (matcher.find()) {
                gateway.port = Integer.parseInt(matcher.group(1));
                gateway.serving = true;
              }
            }
          } catch (IOException e) {
            // The process has ended.
          }
          try {
            log(name + " exited code=" + process.waitFor());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    return gateway;
  }

  /** Starts another program of the project; what it prints goes to the record. */
  static Process start(String name, String... command) throws IOException {
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    processes.add(process);
    log(name + " started pid=" + process.pid());
    thread(
        "log of " + name,
        () -> {
          try (var in = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
              log(name + " log " + line);
            }
          } catch (IOException e) {
            // The process has ended.
          }
        });
    return process;
  }

  /** Returns a port that is free now. */
  public static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  // ---- Caches, parents and the origin.

  /** What a cache was asked for. */
  public static final class Want {
    public final String id;
    public final Map<String, String> fields = new LinkedHashMap<>();
    public final byte[] body;
    public final long atMillis = System.currentTimeMillis();
    final CacheConnection connection;
    public volatile boolean givenUp;

    Want(String id, String text, byte[] body, CacheConnection connection) {
      this.id = id;
      this.body = body;
      this.connection = connection;
      for (String field : text.split(",")) {
        int equals = field.indexOf('=');
        if (equals > 0) {
          fields.put(field.substring(0, equals), field.substring(equals + 1));
        }
      }
    }

    public String field(String name) {
      return fields.getOrDefault(name, "");
    }

    public void answer(String word, String fields, byte[] bytes) {
      if (!givenUp) {
        connection.write(reply(id, word, fields, bytes));
      }
    }

    public CacheConnection connection() {
      return connection;
    }
  }

  static byte[] reply(String id, String word, String fields, byte[] bytes) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes("*4\r\n".getBytes(StandardCharsets.ISO_8859_1));
    for (byte[] part :
        List.of(
            id.getBytes(StandardCharsets.ISO_8859_1),
            word.getBytes(StandardCharsets.ISO_8859_1),
            fields.getBytes(StandardCharsets.ISO_8859_1),
            bytes)) {
      out.writeBytes(("$" + part.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(part);
      out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
    return out.toByteArray();
  }

  /** Decides what a cache does with a request. */
  public interface Behaviour {
    void wanted(Cache cache, Want want);
  }

  /** One connection of a gateway to a cache. */
  public static final class CacheConnection {
    final Socket socket;
    final OutputStream out;
    final Map<String, Want> open = new ConcurrentHashMap<>();

    CacheConnection(Socket socket) throws IOException {
      this.socket = socket;
      out = socket.getOutputStream();
    }

    public synchronized void write(byte[] bytes) {
      try {
        out.write(bytes);
        out.flush();
      } catch (IOException e) {
        close();
      }
    }

    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to do.
      }
    }

    /** Resets the connection. */
    public void reset() {
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // It is closed already.
      }
      close();
    }
  }

  /** A cache, parent or origin by the RESP protocol of the protocol page. */
  public static final class Cache {
    public final String id;
    public final ServerSocket server;
    public final AtomicLong wants = new AtomicLong();
    public final List<CacheConnection> connections = new CopyOnWriteArrayList<>();
    public volatile Behaviour behaviour;
    public volatile boolean logs = true;

    public Cache(String id, Behaviour behaviour) throws IOException {
      this(id, behaviour, 0);
    }

    /** A cache at a port; 0 for a free one. */
    public Cache(String id, Behaviour behaviour, int port) throws IOException {
      this.id = id;
      this.behaviour = behaviour;
      server = new ServerSocket();
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress("127.0.0.1", port), 1024);
      thread("cache " + id, this::accept);
    }

    public String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          CacheConnection connection = new CacheConnection(socket);
          connections.add(connection);
          thread("connection of " + id, () -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(CacheConnection connection) {
      try (DataInputStream in =
          new DataInputStream(
              new BufferedInputStream(connection.socket.getInputStream(), 32_768))) {
        while (true) {
          int count = Integer.parseInt(line(in).substring(1));
          byte[][] parts = new byte[count][];
          for (int index = 0; index < count; index++) {
            parts[index] = new byte[Integer.parseInt(line(in).substring(1))];
            in.readFully(parts[index]);
            in.readFully(new byte[2]);
          }
          String word = text(parts[0]);
          if (word.equals("want")) {
            Want want = new Want(text(parts[1]), text(parts[2]), parts[3], connection);
            wants.incrementAndGet();
            if (logs) {
              log("cache " + id + " want " + want.id + " " + text(parts[2]));
            }
            connection.open.put(want.id, want);
            behaviour.wanted(this, want);
          } else if (word.equals("never_mind")) {
            Want want = connection.open.remove(text(parts[1]));
            if (want != null) {
              want.givenUp = true;
            }
            if (logs) {
              log("cache " + id + " never_mind " + text(parts[1]));
            }
          } else if (word.equals("there")) {
            connection.write(reply(text(parts[1]), "yes", "-", new byte[0]));
          }
        }
      } catch (IOException | RuntimeException e) {
        // The connection has ended.
      } finally {
        connections.remove(connection);
        connection.open.values().forEach(want -> want.givenUp = true);
        connection.close();
      }
    }

    private static String line(DataInputStream in) throws IOException {
      StringBuilder text = new StringBuilder();
      int next = in.read();
      while (next != '\r') {
        if (next < 0 || text.length() > 32) {
          throw new EOFException();
        }
        text.append((char) next);
        next = in.read();
      }
      in.read();
      return text.toString();
    }

    /** Dies: stops listening and resets all connections. */
    public void die() {
      try {
        server.close();
        for (CacheConnection connection : connections) {
          connection.socket.setSoLinger(true, 0);
          connection.close();
        }
      } catch (IOException e) {
        // Nothing is left to do.
      }
    }
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** The fields of a sound 'ok' answer with a copy that the origin gave out now. */
  public static String okFields(String note) {
    long now = System.currentTimeMillis();
    return "res=" + note + ",entity=" + Long.toHexString(now) + ",issued=" + now;
  }

  /** Answers after a fixed time with a body of this size that names object and part. */
  public static Behaviour serves(long millis, int bytes) {
    return (cache, want) ->
        after(
            millis,
            () -> want.answer("ok", okFields("h"), bodyOf(want.field("obj"), want.field("seg"), bytes)));
  }

  public static byte[] bodyOf(String object, String part, int bytes) {
    byte[] body = new byte[Math.max(bytes, 40)];
    byte[] name = (object + "/" + part + ";").getBytes(StandardCharsets.ISO_8859_1);
    System.arraycopy(name, 0, body, 0, name.length);
    return body;
  }

  // ---- The journal service.

  /** The journal service: numbered events by HTTP long polling. */
  public static final class Journal {
    public final ServerSocket server;
    private final List<String> entries = new ArrayList<>();
    public final AtomicLong polls = new AtomicLong();
    private volatile boolean closed;

    public Journal() throws IOException {
      server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      thread("journal", this::accept);
    }

    public String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Adds an event; the text is what follows the number. */
    public synchronized int add(String event) {
      entries.add("{\"pos\":" + (entries.size() + 1) + "," + event + "}");
      log("journal event " + entries.get(entries.size() - 1));
      notifyAll();
      return entries.size();
    }

    public synchronized String after(int position) {
      return "{\"pos\":"
          + entries.size()
          + ",\"entries\":["
          + String.join(",", entries.subList(Math.min(position, entries.size()), entries.size()))
          + "]}";
    }

    private void accept() {
      while (!closed) {
        try {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          thread("poll", () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          String head = httpLine(in);
          while (!httpLine(in).isEmpty()) {
            // Headers tell nothing more.
          }
          Matcher matcher = Pattern.compile("tail=(\\d+)&max_wait=(\\d+)").matcher(head);
          if (!matcher.find()) {
            return;
          }
          polls.incrementAndGet();
          int tail = Integer.parseInt(matcher.group(1));
          long until = System.currentTimeMillis() + Long.parseLong(matcher.group(2));
          String body;
          synchronized (this) {
            while (entries.size() <= tail && System.currentTimeMillis() < until) {
              wait(Math.max(1, until - System.currentTimeMillis()));
            }
            body = after(tail);
          }
          byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
          OutputStream out = socket.getOutputStream();
          out.write(
              ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                      + bytes.length
                      + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          out.write(bytes);
          out.flush();
        }
      } catch (IOException | InterruptedException e) {
        // The poll has ended.
      }
    }
  }

  static String httpLine(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        text.append((char) next);
      }
    }
    return text.toString();
  }

  /** One instance of a list of caches, as JSON. */
  public static String instance(String id, String address, String zone, String kind, String state) {
    return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"" + zone
        + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + state
        + "\",\"weight\":4,\"startedAtMs\":0}";
  }

  public static String hosts(boolean full, String... instances) {
    return "\"hosts\":{\"generation\":1,\"reset\":" + full + ",\"instances\":["
        + String.join(",", instances) + "]}";
  }

  // ---- Clients.

  /** An answer to a client's request. */
  public static final class Answer {
    /** "served", "refused" or "failed". */
    public final String kind;

    public final byte[] body;
    public final String detail;

    Answer(String kind, byte[] body, String detail) {
      this.kind = kind;
      this.body = body;
      this.detail = detail;
    }
  }

  /** A request that a client has sent. */
  public static final class Sent {
    public final String ref;
    public final long number;
    public final String object;
    public final String part;
    public final int allowMillis;
    public volatile long sentMillis;
    public volatile long answeredMillis;
    public final List<Answer> answers = new CopyOnWriteArrayList<>();
    public volatile boolean connectionClosed;
    public volatile boolean withdrawn;

    Sent(String ref, long number, String object, String part, int allowMillis) {
      this.ref = ref;
      this.number = number;
      this.object = object;
      this.part = part;
      this.allowMillis = allowMillis;
    }
  }

  private static final AtomicLong refs = new AtomicLong(System.nanoTime() & 0xffffff);

  public static String newRef() {
    return String.format("%016x", 0x5e00000000000000L + refs.incrementAndGet());
  }

  /** One connection of a client, by MessagePack-RPC. */
  public static final class Client {
    public final Socket socket;
    private final OutputStream out;
    private long lastNumber;
    public final Map<Long, Sent> open = new ConcurrentHashMap<>();
    public final List<Sent> all = new CopyOnWriteArrayList<>();
    public volatile boolean closed;
    public volatile boolean logs = true;
    public volatile boolean statusAnswer;
    public volatile boolean statusSeen;

    public Client(int port) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
      out = socket.getOutputStream();
      thread("client", this::read);
    }

    /** Encodes and sends one request. */
    public synchronized Sent send(
        String type, String object, int part, int allowMillis, byte[] body, String... more)
        throws IOException {
      Sent sent = new Sent(newRef(), ++lastNumber, object, Integer.toString(part), allowMillis);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(0x94);
      bytes.write(0);
      packInt(bytes, sent.number);
      packText(bytes, type);
      bytes.write(0x92);
      bytes.write(0x80 + 5 + more.length / 2);
      packText(bytes, "ref");
      packText(bytes, sent.ref);
      packText(bytes, "allow");
      packText(bytes, Integer.toString(allowMillis));
      packText(bytes, "lookup");
      packText(bytes, object);
      packText(bytes, "chunk");
      packText(bytes, Integer.toString(part));
      packText(bytes, "tag");
      packText(bytes, "7");
      for (String text : more) {
        packText(bytes, text);
      }
      bytes.write(0xc6);
      bytes.write(body.length >>> 24);
      bytes.write(body.length >>> 16);
      bytes.write(body.length >>> 8);
      bytes.write(body.length);
      bytes.writeBytes(body);
      open.put(sent.number, sent);
      all.add(sent);
      out.write(bytes.toByteArray());
      out.flush();
      sent.sentMillis = System.currentTimeMillis();
      if (logs) {
        log("sent " + sent.ref + " " + type + " " + object + "/" + part + " allow=" + allowMillis);
      }
      return sent;
    }

    public synchronized void withdraw(Sent sent) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(0x93);
      bytes.write(2);
      packText(bytes, "withdraw");
      bytes.write(0x91);
      packInt(bytes, sent.number);
      sent.withdrawn = true;
      out.write(bytes.toByteArray());
      out.flush();
    }

    public synchronized void status() throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(0x94);
      bytes.write(0);
      packInt(bytes, ++lastNumber);
      packText(bytes, "status");
      bytes.write(0x91);
      bytes.write(0x80);
      out.write(bytes.toByteArray());
      out.flush();
    }

    private void read() {
      try (DataInputStream in =
          new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16_384))) {
        while (true) {
          List<?> message = (List<?>) unpack(in);
          long number = ((Number) message.get(1)).longValue();
          Sent sent = open.remove(number);
          Object error = message.get(2);
          Answer answer;
          if (error == null) {
            List<?> result = (List<?>) message.get(3);
            if (result.get(0) instanceof Boolean ready) {
              statusAnswer = ready;
              statusSeen = true;
              continue;
            }
            answer = new Answer("served", (byte[]) result.get(0), result.get(1).toString());
          } else {
            String word = ((List<?>) error).get(0).toString();
            answer =
                new Answer(word.equals("Overloaded") ? "refused" : "failed", null, error.toString());
          }
          if (sent == null) {
            for (Sent earlier : all) {
              if (earlier.number == number) {
                earlier.answers.add(answer);
                log("second answer " + earlier.ref + " " + answer.kind);
              }
            }
            continue;
          }
          sent.answeredMillis = System.currentTimeMillis();
          sent.answers.add(answer);
          if (logs) {
            log(
                "answer " + sent.ref + " " + answer.kind
                    + " after=" + (sent.answeredMillis - sent.sentMillis)
                    + (answer.body == null ? " " + answer.detail : " bytes=" + answer.body.length));
          }
        }
      } catch (IOException | RuntimeException e) {
        closed = true;
        for (Sent sent : open.values()) {
          sent.connectionClosed = true;
          if (logs) {
            log("closed under " + sent.ref + " " + e);
          }
        }
      }
    }

    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to do.
      }
    }
  }

  static void packInt(ByteArrayOutputStream bytes, long value) {
    bytes.write(0xce);
    bytes.write((int) (value >>> 24));
    bytes.write((int) (value >>> 16));
    bytes.write((int) (value >>> 8));
    bytes.write((int) value);
  }

  static void packText(ByteArrayOutputStream bytes, String text) {
    byte[] raw = text.getBytes(StandardCharsets.UTF_8);
    if (raw.length < 32) {
      bytes.write(0xa0 + raw.length);
    } else {
      bytes.write(0xd9);
      bytes.write(raw.length);
    }
    bytes.writeBytes(raw);
  }

  static Object unpack(DataInputStream in) throws IOException {
    int type = in.readUnsignedByte();
    if (type < 0x80) {
      return (long) type;
    } else if (type < 0x90) {
      return map(in, type - 0x80);
    } else if (type < 0xa0) {
      return array(in, type - 0x90);
    } else if (type < 0xc0) {
      return text(in.readNBytes(type - 0xa0));
    }
    return switch (type) {
      case 0xc0 -> null;
      case 0xc2 -> false;
      case 0xc3 -> true;
      case 0xc4 -> bytes(in, in.readUnsignedByte());
      case 0xc5 -> bytes(in, in.readUnsignedShort());
      case 0xc6 -> bytes(in, in.readInt());
      case 0xcc -> (long) in.readUnsignedByte();
      case 0xcd -> (long) in.readUnsignedShort();
      case 0xce -> in.readInt() & 0xffffffffL;
      case 0xcf, 0xd3 -> in.readLong();
      case 0xd9 -> text(bytes(in, in.readUnsignedByte()));
      case 0xda -> text(bytes(in, in.readUnsignedShort()));
      case 0xdc -> array(in, in.readUnsignedShort());
      case 0xde -> map(in, in.readUnsignedShort());
      default -> throw new IOException("unknown type " + type);
    };
  }

  private static byte[] bytes(DataInputStream in, int count) throws IOException {
    byte[] read = in.readNBytes(count);
    if (read.length < count) {
      throw new EOFException();
    }
    return read;
  }

  private static List<Object> array(DataInputStream in, int count) throws IOException {
    Object[] values = new Object[count];
    for (int index = 0; index < count; index++) {
      values[index] = unpack(in);
    }
    return Arrays.asList(values);
  }

  private static Map<Object, Object> map(DataInputStream in, int count) throws IOException {
    Map<Object, Object> values = new LinkedHashMap<>();
    for (int index = 0; index < count; index++) {
      Object key = unpack(in);
      values.put(key, unpack(in));
    }
    return values;
  }
}
