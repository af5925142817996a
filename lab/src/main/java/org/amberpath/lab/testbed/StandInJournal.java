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
import org.amberpath.lab.LabSettings;
import org.amberpath.routing.EndpointState;

/**
 * Stand-in for the journal service of the platform: serves numbered events to gateways by HTTP long
 * polling. Confined to one event loop.
 *
 * <p>Bounds: at most {@value #MAX_EVENTS} events; one open poll per connection.
 */
public final class StandInJournal {
  private static final int MAX_EVENTS = 100_000;

  /** The scope of the list of caches in an event. */
  public enum ListScope {
    /** All caches that exist; it replaces earlier lists. */
    FULL,

    /** Only the caches that have changed. */
    CHANGES
  }

  /**
   * One cache in an event.
   *
   * @param address HOST:PORT of the cache
   * @param kind the endpoint kind, written as the machine type
   * @param weight the capacity of the cache
   * @param startedAtMillis when the cache started with nothing stored (Unix time); 0 for a cache
   *     that is warm
   */
  public record Instance(
      String id,
      String address,
      String kind,
      double weight,
      EndpointState state,
      long startedAtMillis) {
    private String json() {
      return "{\"instanceId\":\""
          + id
          + "\",\"hostPort\":\""
          + address
          + "\",\"zone\":\""
          + LabSettings.ZONE
          + "\",\"machineType\":\""
          + kind
          + "\",\"cell\":0,\"lifecycle\":\""
          + (state == EndpointState.UP
              ? "ready"
              : state == EndpointState.DRAINING ? "draining" : "gone")
          + "\",\"weight\":"
          + weight
          + ",\"startedAtMs\":"
          + startedAtMillis
          + "}";
    }
  }

  private record Poll(HttpServerRequest request, int lastPosition) {}

  private final Vertx vertx;
  private final HttpServer server;
  private final List<String> entries = new ArrayList<>();
  private final List<Poll> polls = new ArrayList<>();
  private long bytesSent;

  /** Creates a journal that does not listen yet. */
  public StandInJournal(Vertx vertx) {
    this.vertx = vertx;
    server = vertx.createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(0));
    server.requestHandler(this::pollReceived);
  }

  /** Listens on a port that the system chooses. */
  public Future<StandInJournal> listen() {
    return server.listen().map(this);
  }

  /** Returns HOST:PORT on which the journal listens. */
  public String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  /** Adds one event that lists caches. */
  public void announceCaches(ListScope scope, List<Instance> instances) {
    addEvent(
        "\"hosts\":{\"generation\":1,\"reset\":"
            + (scope == ListScope.FULL)
            + ",\"instances\":["
            + instances.stream().map(Instance::json).collect(Collectors.joining(","))
            + "]}");
  }

  /** Returns all events so far, in the JSON form of the settings key {@code known}. */
  public String allEvents() {
    return eventsAfter(0);
  }

  /** Returns the total size of the response bodies sent so far, in bytes. */
  public long bytesSent() {
    return bytesSent;
  }

  /**
   * Adds an event that purges an object.
   *
   * @param atMillis the timestamp of the purge (Unix time)
   */
  void announcePurge(String object, long atMillis) {
    addEvent("\"expire\":{\"name\":\"" + object + "\",\"stamp\":" + atMillis + "}");
  }

  private void addEvent(String event) {
    if (entries.size() >= MAX_EVENTS) {
      throw new IllegalStateException(
          "stand-in journal is full: it already holds " + MAX_EVENTS + " events");
    }
    entries.add("{\"pos\":" + (entries.size() + 1) + "," + event + "}");
    for (Iterator<Poll> iterator = polls.iterator(); iterator.hasNext(); ) {
      Poll poll = iterator.next();
      iterator.remove();
      reply(poll);
    }
  }

  private void pollReceived(HttpServerRequest request) {
    Poll poll = new Poll(request, Integer.parseInt(request.getParam("tail")));
    long maxWaitMillis = Long.parseLong(request.getParam("max_wait"));
    if (poll.lastPosition < entries.size()) {
      reply(poll);
      return;
    }
    polls.add(poll);
    request.connection().closeHandler(ignored -> polls.remove(poll));
    vertx.setTimer(
        Math.max(1, maxWaitMillis),
        timer -> {
          if (polls.remove(poll)) {
            reply(poll);
          }
        });
  }

  private void reply(Poll poll) {
    String body = eventsAfter(poll.lastPosition);
    bytesSent += body.length();
    poll.request.response().end(body);
  }

  private String eventsAfter(int lastPosition) {
    return "{\"pos\":"
        + entries.size()
        + ",\"entries\":["
        + String.join(",", entries.subList(Math.min(lastPosition, entries.size()), entries.size()))
        + "]}";
  }
}
