package org.amberpath.membership.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.Locale;
import java.util.logging.Logger;
import org.amberpath.membership.SwimProtocol;

/**
 * Where operators ask a gateway for its view, on loopback: GET {@value #VIEW}, POST {@value
 * #FORGET}NAME; and for the tasks that it owns: GET {@value #TASKS}, POST {@value #RELEASE}TASK.
 * Bounds: {@value #MOST} connections at a time, which are closed when idle.
 */
public final class AdminEndpoint {
  public static final String VIEW = "/fleet",
      FORGET = "/fleet/forget/",
      TASKS = "/owner",
      RELEASE = "/owner/release/";
  private static final Logger LOG = Logger.getLogger(AdminEndpoint.class.getName());
  private static final int MOST = 8, IDLE_S = 10, LONGEST_LINE = 512, LONGEST_HEADERS = 4096;
  private static final long MS = 1_000_000;

  private final MembershipService company;
  private final FleetMessageHandler guest;
  private final HttpServer server;
  private int open;

  AdminEndpoint(Vertx vertx, MembershipService company, FleetMessageHandler guest) {
    this.company = company;
    this.guest = guest;
    server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setIdleTimeout(IDLE_S)
                .setMaxInitialLineLength(LONGEST_LINE)
                .setMaxHeaderSize(LONGEST_HEADERS));
    server.connectionHandler(
        connection -> {
          open++;
          connection.closeHandler(closed -> open--);
          if (open > MOST) {
            connection.close();
          }
        });
    server.requestHandler(this::answer);
  }

  Future<Void> listen(SocketAddress at) {
    return server
        .listen(at)
        .onSuccess(
            up -> LOG.info("fleet: operators ask at " + at.hostAddress() + ":" + up.actualPort()))
        .mapEmpty();
  }

  void close() {
    server.close();
  }

  private void answer(HttpServerRequest request) {
    SwimProtocol view = company.view();
    String path = request.path();
    if (view == null) {
      request.response().setStatusCode(503).end();
    } else if (request.method().equals(HttpMethod.GET) && path.equals(VIEW)) {
      request.response().putHeader("Content-Type", "application/json").end(json(view).toBuffer());
    } else if (request.method().equals(HttpMethod.POST) && path.startsWith(FORGET)) {
      boolean forgotten = view.forget(company.now(), path.substring(FORGET.length()));
      request.response().setStatusCode(forgotten ? 200 : 409).end();
    } else if (guest != null && request.method().equals(HttpMethod.GET) && path.equals(TASKS)) {
      request
          .response()
          .putHeader("Content-Type", "application/json")
          .end(guest.page(company.now()).toBuffer());
    } else if (guest != null
        && request.method().equals(HttpMethod.POST)
        && path.startsWith(RELEASE)) {
      boolean released = guest.release(company.now(), path.substring(RELEASE.length()));
      request.response().setStatusCode(released ? 200 : 409).end();
    } else {
      request.response().setStatusCode(404).end();
    }
  }

  private JsonObject json(SwimProtocol view) {
    JsonArray others = new JsonArray();
    long now = company.now();
    for (SwimProtocol.Seen one : view.others()) {
      others.add(
          new JsonObject()
              .put("name", one.said().name())
              .put("address", one.said().address())
              .put("standing", low(one.said().standing()))
              .put("incarnation", one.said().incarnation())
              .put("since_ms", (now - one.since()) / MS));
    }
    JsonObject counts = new JsonObject();
    company.counts().forEach((what, many) -> counts.put(low(what), many));
    return new JsonObject()
        .put("name", view.self().name())
        .put("fleet", company.fleet())
        .put("phase", low(view.phase()))
        .put("there", view.present())
        .put("told", company.rules().told())
        .put("counted", view.counted())
        .put("part", view.share())
        .put("address", view.self().address())
        .put("incarnation", view.self().incarnation())
        .put("gateways", others)
        .put("datagrams", counts);
  }

  private static String low(Enum<?> one) {
    return one.name().toLowerCase(Locale.ROOT);
  }
}
