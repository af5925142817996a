package org.amberpath.lab.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Collectors;
import org.amberpath.routing.EndpointState;

/**
 * The platform's journal service for many gateways: numbered events by long poll. Only for its
 * event loop. Bounds: the events of one experiment; a poll a connection.
 */
public final class StandInJournal {
  private static final int MOST_EVENTS = 100_000;

  /** One cache in an event; startedAtMs is when it started cold, or 0. */
  public record Instance(
      String id,
      String address,
      String kind,
      double weight,
      EndpointState state,
      long startedAtMs) {
    private String json() {
      return "{\"instanceId\":\""
          + id
          + "\",\"hostPort\":\""
          + address
          + "\",\"zone\":\""
          + org.amberpath.lab.LabSettings.ZONE
          + "\",\"machineType\":\""
          + kind
          + "\",\"cell\":0,\"lifecycle\":\""
          + (state == EndpointState.UP
              ? "ready"
              : state == EndpointState.DRAINING ? "draining" : "gone")
          + "\",\"weight\":"
          + weight
          + ",\"startedAtMs\":"
          + startedAtMs
          + "}";
    }
  }

  private record Poll(HttpServerRequest request, int tail) {}

  private final Vertx vertx;
  private final HttpServer server;
  private final List<String> entries = new ArrayList<>();
  private final List<Poll> polls = new ArrayList<>();
  private long bytesSent;

  public StandInJournal(Vertx vertx) {
    this.vertx = vertx;
    server = vertx.createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(0));
    server.requestHandler(this::asked);
  }

  public Future<StandInJournal> listen() {
    return server.listen().map(this);
  }

  public String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  /** A cache's state; startedAtMs is when it started cold, or 0. */
  void host(
      String id,
      String address,
      String kind,
      double weight,
      EndpointState state,
      long startedAtMs) {
    hosts(false, List.of(new Instance(id, address, kind, weight, state, startedAtMs)));
  }

  /** One event of caches: the whole list, or what has changed of it. */
  public void hosts(boolean whole, List<Instance> instances) {
    add(
        "\"hosts\":{\"generation\":1,\"reset\":"
            + whole
            + ",\"instances\":["
            + instances.stream().map(Instance::json).collect(Collectors.joining(","))
            + "]}");
  }

  /** All events so far, in the form in which a configuration holds them. */
  public String known() {
    return after(0);
  }

  /** Bytes of the answers so far, without their heads. */
  public long bytesSent() {
    return bytesSent;
  }

  void purge(String object, long atMs) {
    add("\"expire\":{\"name\":\"" + object + "\",\"stamp\":" + atMs + "}");
  }

  private void add(String event) {
    if (entries.size() >= MOST_EVENTS) {
      throw new IllegalStateException("more than " + MOST_EVENTS + " events");
    }
    entries.add("{\"pos\":" + (entries.size() + 1) + "," + event + "}");
    for (Iterator<Poll> each = polls.iterator(); each.hasNext(); ) {
      Poll poll = each.next();
      each.remove();
      reply(poll);
    }
  }

  private void asked(HttpServerRequest request) {
    Poll poll = new Poll(request, Integer.parseInt(request.getParam("tail")));
    long wait = Long.parseLong(request.getParam("max_wait"));
    if (poll.tail < entries.size()) {
      reply(poll);
      return;
    }
    polls.add(poll);
    request.connection().closeHandler(closed -> polls.remove(poll));
    vertx.setTimer(
        Math.max(1, wait),
        over -> {
          if (polls.remove(poll)) {
            reply(poll);
          }
        });
  }

  private void reply(Poll poll) {
    String body = after(poll.tail);
    bytesSent += body.length();
    poll.request.response().end(body);
  }

  private String after(int tail) {
    return "{\"pos\":"
        + entries.size()
        + ",\"entries\":["
        + String.join(",", entries.subList(Math.min(tail, entries.size()), entries.size()))
        + "]}";
  }
}
