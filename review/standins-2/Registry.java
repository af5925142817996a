import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The registry of a case: the project's own stand-in for etcd in a process of its own, a proxy
 * before each of its endpoints, and a writer by etcd's published JSON API.
 */
public final class Registry {
  public final List<Integer> ports = new ArrayList<>();
  public final List<Proxy> proxies = new ArrayList<>();
  private final Process process;

  /** Starts the stand-in with this number of endpoints, and a proxy before each. */
  public Registry(int endpoints) throws IOException {
    StringBuilder list = new StringBuilder();
    for (int index = 0; index < endpoints; index++) {
      ports.add(World.freePort());
      list.append(index == 0 ? "" : ",").append(ports.get(index));
    }
    process =
        World.start(
            "registry", "java", "-Xmx128m", "-jar", "target/amberpath.jar", "lab", "standin",
            "registry", "--ports", list.toString());
    long until = System.currentTimeMillis() + 20_000;
    for (int port : ports) {
      while (!accepts(port)) {
        if (System.currentTimeMillis() > until) {
          World.finish(World.CANNOT_RUN, "the stand-in registry does not listen");
        }
        World.sleep(50);
      }
      proxies.add(new Proxy(port));
    }
  }

  private static boolean accepts(int port) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Makes a further set of proxies, one before each endpoint, for another gateway. */
  public List<Proxy> newProxies() throws IOException {
    List<Proxy> set = new ArrayList<>();
    for (int port : ports) {
      set.add(new Proxy(port));
    }
    return set;
  }

  /** The JSON value of a cache's key. */
  public static String cache(String address, String zone, String kind, String state) {
    return "{\"v\":1,\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
        + "\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":4,\"started_at_ms\":0}";
  }

  /** Writes keys and the tip in one transaction; returns when it is committed. */
  public void put(String... keysAndValues) throws IOException {
    StringBuilder operations = new StringBuilder();
    for (int index = 0; index < keysAndValues.length; index += 2) {
      operations.append(operation(keysAndValues[index], keysAndValues[index + 1])).append(',');
    }
    operations.append(operation("tip", Long.toString(System.nanoTime())));
    String answer = post("/v3/kv/txn", "{\"success\":[" + operations + "]}");
    World.log("registry committed " + String.join(" ", keysAndValues));
    if (!answer.contains("\"succeeded\":true")) {
      World.finish(World.CANNOT_RUN, "the registry did not commit: " + answer);
    }
  }

  /** Returns the values of all keys that begin with this text, by key. */
  public java.util.Map<String, String> read(String prefix) throws IOException {
    String first = "amberpath/" + prefix;
    String end = first.substring(0, first.length() - 1) + (char) (first.charAt(first.length() - 1) + 1);
    String answer =
        post("/v3/kv/range", "{\"key\":\"" + base64(first) + "\",\"range_end\":\"" + base64(end) + "\"}");
    java.util.Map<String, String> values = new java.util.TreeMap<>();
    for (String entry : answer.split("\\{")) {
      java.util.regex.Matcher key = java.util.regex.Pattern.compile("\"key\":\"([^\"]*)\"").matcher(entry);
      java.util.regex.Matcher value =
          java.util.regex.Pattern.compile("\"value\":\"([^\"]*)\"").matcher(entry);
      if (key.find() && value.find()) {
        values.put(
            new String(Base64.getDecoder().decode(key.group(1)), StandardCharsets.UTF_8)
                .substring("amberpath/".length()),
            new String(Base64.getDecoder().decode(value.group(1)), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private static String operation(String key, String value) {
    return "{\"request_put\":{\"key\":\"" + base64("amberpath/" + key) + "\",\"value\":\""
        + base64(value) + "\"}}";
  }

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private String post(String path, String json) throws IOException {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    try (Socket socket = new Socket("127.0.0.1", ports.get(0))) {
      socket.setSoTimeout(5000);
      OutputStream out = socket.getOutputStream();
      out.write(
          ("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
                  + "Connection: close\r\nContent-Length: " + body.length + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** A TCP proxy before one endpoint; it can be down, or hold back what the server answers. */
  public static final class Proxy {
    private final int target;
    private final int port;
    private volatile ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    /** While true, nothing passes; connections stay open. */
    public volatile boolean silent;

    /** By how long answers are held back, in milliseconds. */
    public volatile long answerDelayMillis;

    /** Is told what a client sends before it is passed on, and may hold it back. */
    public volatile java.util.function.Consumer<String> onRequest = text -> {};

    Proxy(int target) throws IOException {
      this.target = target;
      server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      port = server.getLocalPort();
      World.thread("proxy", this::accept);
    }

    public String address() {
      return "127.0.0.1:" + port;
    }

    /** Resets all connections; new ones are refused until {@link #up}. */
    public void down() throws IOException {
      server.close();
      reset();
    }

    /** Accepts connections again. */
    public void up() throws IOException {
      ServerSocket socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress("127.0.0.1", port), 256);
      server = socket;
      World.thread("proxy", this::accept);
    }

    /** Resets all connections; new ones are accepted. */
    public void reset() throws IOException {
      for (Socket socket : sockets) {
        if (!socket.isClosed()) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      }
      sockets.clear();
    }

    private void accept() {
      ServerSocket own = server;
      while (!own.isClosed()) {
        try {
          Socket client = own.accept();
          client.setTcpNoDelay(true);
          Socket endpoint = new Socket("127.0.0.1", target);
          endpoint.setTcpNoDelay(true);
          sockets.add(client);
          sockets.add(endpoint);
          World.thread("proxy to", () -> copy(client, endpoint, false));
          World.thread("proxy from", () -> copy(endpoint, client, true));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void copy(Socket from, Socket to, boolean isAnswer) {
      byte[] bytes = new byte[65_536];
      try {
        InputStream in = from.getInputStream();
        for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
          long due = System.currentTimeMillis() + (isAnswer ? answerDelayMillis : 0);
          while (silent || System.currentTimeMillis() < due) {
            Thread.sleep(1);
          }
          if (!isAnswer) {
            onRequest.accept(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
          }
          to.getOutputStream().write(bytes, 0, count);
          to.getOutputStream().flush();
        }
      } catch (IOException | InterruptedException e) {
        // One side has ended the connection.
      }
      try {
        from.close();
        to.close();
      } catch (IOException e) {
        // Nothing is left to do.
      }
    }
  }

  /** Writes the [registry] section of a deployment file, followed by more lines. */
  public Path deploymentFile(String... more) throws IOException {
    return deploymentFile(proxies, more);
  }

  /** The same for a gateway that reaches the registry through other proxies. */
  public static Path deploymentFile(List<Proxy> proxies, String... more) throws IOException {
    List<String> addresses = new ArrayList<>();
    proxies.forEach(proxy -> addresses.add(proxy.address()));
    Path file = Files.createTempFile("amberpath", ".ini");
    Files.writeString(
        file,
        "[registry]\nform = etcd\nendpoints = " + String.join(", ", addresses) + "\n"
            + String.join("\n", more) + "\n");
    return file;
  }
}
