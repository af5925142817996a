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
 * Where operators ask a gateway for its view, on loopback: GET {@value #MEMBERS_PATH}, POST {@value
 * #FORGET_PATH}NAME; and for the tasks that it owns: GET {@value #TASKS_PATH}, POST {@value
 * #RELEASE_PATH}TASK. Bounds: {@value #MOST} connections at a time, which are closed when idle.
 */
public final class AdminEndpoint {
  public static final String MEMBERS_PATH = "/fleet",
      FORGET_PATH = "/fleet/forget/",
      TASKS_PATH = "/owner",
      RELEASE_PATH = "/owner/release/";
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
    } else if (request.method().equals(HttpMethod.GET) && path.equals(MEMBERS_PATH)) {
      request.response().putHeader("Content-Type", "application/json").end(json(view).toBuffer());
    } else if (request.method().equals(HttpMethod.POST) && path.startsWith(FORGET_PATH)) {
      boolean forgotten = view.forget(company.nowNanos(), path.substring(FORGET_PATH.length()));
      request.response().setStatusCode(forgotten ? 200 : 409).end();
    } else if (guest != null
        && request.method().equals(HttpMethod.GET)
        && path.equals(TASKS_PATH)) {
      request
          .response()
          .putHeader("Content-Type", "application/json")
          .end(guest.status(company.nowNanos()).toBuffer());
    } else if (guest != null
        && request.method().equals(HttpMethod.POST)
        && path.startsWith(RELEASE_PATH)) {
      boolean released = guest.release(company.nowNanos(), path.substring(RELEASE_PATH.length()));
      request.response().setStatusCode(released ? 200 : 409).end();
    } else {
      request.response().setStatusCode(404).end();
    }
  }

  private JsonObject json(SwimProtocol view) {
    JsonArray others = new JsonArray();
    long now = company.nowNanos();
    for (SwimProtocol.ObservedMember one : view.otherMembers()) {
      others.add(
          new JsonObject()
              .put("name", one.update().name())
              .put("address", one.update().address())
              .put("standing", low(one.update().status()))
              .put("incarnation", one.update().incarnation())
              .put("since_ms", (now - one.sinceNanos()) / MS));
    }
    JsonObject counts = new JsonObject();
    company.counts().forEach((what, many) -> counts.put(low(what), many));
    return new JsonObject()
        .put("name", view.self().name())
        .put("fleet", company.fleet())
        .put("phase", low(view.phase()))
        .put("there", view.presentCount())
        .put("told", company.timings().maxMembers())
        .put("counted", view.countedMembers())
        .put("part", view.quotaShare())
        .put("address", view.self().address())
        .put("incarnation", view.self().incarnation())
        .put("gateways", others)
        .put("datagrams", counts);
  }

  private static String low(Enum<?> one) {
    return one.name().toLowerCase(Locale.ROOT);
  }
}
