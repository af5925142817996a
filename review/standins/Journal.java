import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** The journal service of PROTOCOL.md: numbered events, read by a long poll. */
final class Journal implements AutoCloseable {
  private final HttpServer server;
  private final List<String> entries = new ArrayList<>();

  Journal() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "journal");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/journal",
        exchange -> {
          long tail = 0;
          long waitMillis = 0;
          for (String parameter : exchange.getRequestURI().getQuery().split("&")) {
            String[] pair = parameter.split("=");
            if (pair[0].equals("tail")) {
              tail = Long.parseLong(pair[1]);
            } else if (pair[0].equals("max_wait")) {
              waitMillis = Math.min(5000, Long.parseLong(pair[1]));
            }
          }
          byte[] reply = reply(tail, waitMillis).getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, reply.length);
          exchange.getResponseBody().write(reply);
          exchange.close();
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private synchronized String reply(long tail, long waitMillis) {
    long until = System.nanoTime() + waitMillis * Rig.MS;
    try {
      while (entries.size() <= tail && System.nanoTime() < until) {
        wait(Math.max(1, (until - System.nanoTime()) / Rig.MS));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return known(tail);
  }

  /** The events after the given number, in the form of `known` in the configuration. */
  synchronized String known(long tail) {
    return "{\"pos\":"
        + entries.size()
        + ",\"entries\":["
        + String.join(",", entries.subList((int) Math.min(tail, entries.size()), entries.size()))
        + "]}";
  }

  /** Tells an event: the part of an entry after its number. */
  synchronized void tell(String event) {
    entries.add("{\"pos\":" + (entries.size() + 1) + "," + event + "}");
    notifyAll();
  }

  /** Tells a list of caches. */
  void tellCaches(boolean reset, List<Cache> caches, String lifecycle, long startedAtMillis) {
    List<String> instances = new ArrayList<>();
    for (Cache cache : caches) {
      instances.add(instance(cache, lifecycle, startedAtMillis));
    }
    tell(
        "\"hosts\":{\"generation\":1,\"reset\":"
            + reset
            + ",\"instances\":["
            + String.join(",", instances)
            + "]}");
  }

  static String instance(Cache cache, String lifecycle, long startedAtMillis) {
    return String.format(
        "{\"instanceId\":\"%s\",\"hostPort\":\"%s\",\"zone\":\"%s\",\"machineType\":\"%s\","
            + "\"cell\":0,\"lifecycle\":\"%s\",\"weight\":%d,\"startedAtMs\":%d}",
        cache.id, cache.address(), cache.zone, cache.kind, lifecycle, cache.weight, startedAtMillis);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
