package org.amberpath.gateway.testsupport;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;

/** Long poll over HTTP: a reply comes when there is more, or after the wait. */
public final class StubJournal {
  public final HttpServer server =
      HttpServer.create(new InetSocketAddress(GatewayTestbed.LOOPBACK, 0), 0);
  public final BlockingQueue<String> polls = new LinkedBlockingQueue<>();
  private final List<String> entries = new ArrayList<>();

  /** What replies are instead, while it is set: an empty one never comes. */
  public volatile String replyOverride;

  /** Whether the next reply stops in its midst, on a connection that stays open. */
  public volatile boolean truncatesNextReply;

  StubJournal(ExecutorService threads) throws IOException {
    server.createContext("/journal", this::answer);
    server.setExecutor(threads);
    server.start();
  }

  /** The address that it listens at. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** The reply that holds the entries behind a position. */
  public synchronized String entriesSince(int tail) {
    return "{\"pos\":"
        + entries.size()
        + ",\"entries\":["
        + String.join(",", entries.subList(Math.min(tail, entries.size()), entries.size()))
        + "]}";
  }

  /** Adds an entry. */
  public synchronized void addEntry(String event) {
    entries.add("{\"pos\":" + (entries.size() + 1) + "," + event + "}");
    notifyAll();
  }

  /** Adds what another journal holds now. */
  public void copyEntries(StubJournal other) {
    synchronized (other) {
      entries.addAll(other.entries);
    }
  }

  /** Adds an entry that lists one endpoint. */
  public void listEndpoint(String id, String address, String kind, String state) {
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
