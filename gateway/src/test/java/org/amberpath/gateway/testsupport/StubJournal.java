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

/**
 * A journal service that answers long polls over HTTP: as soon as it has entries after the
 * requested position, or after the wait that the poll asks for.
 */
public final class StubJournal {
  public final HttpServer server =
      HttpServer.create(new InetSocketAddress(GatewayTestbed.LOOPBACK, 0), 0);
  public final BlockingQueue<String> polls = new LinkedBlockingQueue<>();
  private final List<String> entries = new ArrayList<>();

  /**
   * The body of all replies while it is not null. While it is empty, no reply is sent and polls
   * stay open.
   */
  public volatile String replyOverride;

  /**
   * Whether the next reply of more than 40 bytes stops after half of its body and keeps the
   * connection open; reset by that reply.
   */
  public volatile boolean truncateNextReply;

  StubJournal(ExecutorService threads) throws IOException {
    server.createContext("/journal", this::handlePoll);
    server.setExecutor(threads);
    server.start();
  }

  /** Returns the address that the journal listens at. */
  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns the reply with the entries after a position. */
  public synchronized String entriesSince(int tail) {
    return "{\"pos\":"
        + entries.size()
        + ",\"entries\":["
        + String.join(",", entries.subList(Math.min(tail, entries.size()), entries.size()))
        + "]}";
  }

  /**
   * Adds an entry.
   *
   * @param fields the JSON fields of the entry except its number
   */
  public synchronized void addEntry(String fields) {
    entries.add("{\"pos\":" + (entries.size() + 1) + "," + fields + "}");
    notifyAll();
  }

  /** Adds the present entries of another journal. */
  public void copyEntries(StubJournal other) {
    synchronized (other) {
      entries.addAll(other.entries);
    }
  }

  /**
   * Adds an entry that lists one endpoint.
   *
   * @param state the lifecycle value: ready, draining or gone
   */
  public void listEndpoint(String id, String address, String kind, String state) {
    addEndpointEntry(id, address, kind, state, 0);
  }

  /** Adds an entry that lists a ready cache of kind box with its start in Unix milliseconds. */
  public void listStartedEndpoint(String id, String address, long startedAtMillis) {
    addEndpointEntry(id, address, "box", "ready", startedAtMillis);
  }

  private void addEndpointEntry(
      String id, String address, String kind, String state, long startedAtMillis) {
    addEntry(
        "\"hosts\":{\"generation\":1,\"reset\":false,\"instances\":[{\"instanceId\":\""
            + id
            + "\",\"hostPort\":\""
            + address
            + "\",\"zone\":\"z\",\"machineType\":\""
            + kind
            + "\",\"cell\":0,\"lifecycle\":\""
            + state
            + "\",\"weight\":4,\"startedAtMs\":"
            + startedAtMillis
            + "}]}");
  }

  private void handlePoll(HttpExchange exchange) throws IOException {
    String query = exchange.getRequestURI().getQuery();
    polls.add(query);
    int tail = Integer.parseInt(query.replaceAll(".*tail=(\\d+).*", "$1"));
    long deadlineNanos =
        System.nanoTime()
            + Long.parseLong(query.replaceAll(".*max_wait=(\\d+).*", "$1")) * 1_000_000;
    String reply = replyOverride;
    try {
      synchronized (this) {
        while ((reply == null && entries.size() <= tail && System.nanoTime() < deadlineNanos)
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
    if (truncateNextReply && bytes.length > 40) {
      truncateNextReply = false;
      exchange.getResponseBody().write(bytes, 0, bytes.length / 2);
      exchange.getResponseBody().flush();
      return;
    }
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }
}
