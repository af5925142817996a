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
import java.util.Optional;
import java.util.logging.Logger;
import org.amberpath.membership.SwimProtocol;

/**
 * The HTTP admin endpoint, on loopback. GET {@value #MEMBERS_PATH} returns the members, and POST
 * {@value #FORGET_PATH}NAME declares that a lost member has left. GET {@value #TASKS_PATH} returns
 * the status of the {@link FleetMessageHandler}, and POST {@value #RELEASE_PATH}TASK releases the
 * leadership of one of its tasks. Runs on the gateway's event loop.
 *
 * <p>Answers 503 until the gateway has begun to join its fleet; 404 for an unknown method or path,
 * and for the paths of tasks without a {@link FleetMessageHandler}; 409 if the named member is not
 * lost or this gateway does not lead the named task.
 *
 * <p>Bounds: {@value #MAX_CONNECTIONS} open connections, each closed after {@value
 * #IDLE_TIMEOUT_SECONDS} s without traffic; requests with a request line over {@value
 * #MAX_REQUEST_LINE_BYTES} bytes or headers over {@value #MAX_HEADER_BYTES} bytes are rejected.
 */
public final class AdminEndpoint {
  /** The path of the members, the phase and the datagram counters, as JSON. */
  public static final String MEMBERS_PATH = "/fleet";

  /** The path prefix of the name of a lost member that will not come back. */
  public static final String FORGET_PATH = "/fleet/forget/";

  /** The path of the message handler's status, as JSON. */
  public static final String TASKS_PATH = "/owner";

  /** The path prefix of the name of a task that another member is to lead. */
  public static final String RELEASE_PATH = "/owner/release/";

  private static final Logger LOG = Logger.getLogger(AdminEndpoint.class.getName());
  private static final int MAX_CONNECTIONS = 8;
  private static final int IDLE_TIMEOUT_SECONDS = 10;
  private static final int MAX_REQUEST_LINE_BYTES = 512;
  private static final int MAX_HEADER_BYTES = 4096;
  private static final long MS_NANOS = 1_000_000;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final MembershipService membership;
  private final Optional<FleetMessageHandler> handler;
  private final HttpServer server;
  private int openConnections;

  AdminEndpoint(Vertx vertx, MembershipService membership, Optional<FleetMessageHandler> handler) {
    this.membership = membership;
    this.handler = handler;
    server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES));
    server.connectionHandler(
        connection -> {
          openConnections++;
          connection.closeHandler(closed -> openConnections--);
          if (openConnections > MAX_CONNECTIONS) {
            connection.close();
          }
        });
    server.requestHandler(this::handleRequest);
  }

  /** Starts listening; the future completes with the bound port. */
  Future<Integer> listen(SocketAddress address) {
    return server
        .listen(address)
        .onSuccess(
            bound ->
                LOG.info(
                    "fleet: operators ask at " + address.hostAddress() + ":" + bound.actualPort()))
        .map(HttpServer::actualPort);
  }

  void close() {
    server.close();
  }

  private void handleRequest(HttpServerRequest request) {
    Optional<SwimProtocol> startedProtocol = membership.protocol();
    if (startedProtocol.isEmpty()) {
      sendResponse(request, UNAVAILABLE);
      return;
    }
    SwimProtocol protocol = startedProtocol.get();
    long nowNanos = membership.nowNanos();
    String path = request.path();
    boolean isGet = request.method().equals(HttpMethod.GET);
    boolean isPost = request.method().equals(HttpMethod.POST);
    if (isGet && path.equals(MEMBERS_PATH)) {
      sendResponse(request, membersAsJson(protocol));
    } else if (isPost && path.startsWith(FORGET_PATH)) {
      boolean forgotten = protocol.forget(nowNanos, path.substring(FORGET_PATH.length()));
      sendResponse(request, forgotten ? OK : CONFLICT);
    } else if (handler.isPresent() && isGet && path.equals(TASKS_PATH)) {
      sendResponse(request, handler.get().status(nowNanos));
    } else if (handler.isPresent() && isPost && path.startsWith(RELEASE_PATH)) {
      boolean released = handler.get().release(nowNanos, path.substring(RELEASE_PATH.length()));
      sendResponse(request, released ? OK : CONFLICT);
    } else {
      sendResponse(request, NOT_FOUND);
    }
  }

  private static void sendResponse(HttpServerRequest request, int status) {
    request.response().setStatusCode(status).end();
  }

  private static void sendResponse(HttpServerRequest request, JsonObject body) {
    request.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
  }

  private JsonObject membersAsJson(SwimProtocol protocol) {
    JsonArray others = new JsonArray();
    long nowNanos = membership.nowNanos();
    for (SwimProtocol.ObservedMember member : protocol.otherMembers()) {
      others.add(
          new JsonObject()
              .put("name", member.update().name())
              .put("address", member.update().address())
              .put("standing", lowerCase(member.update().status()))
              .put("incarnation", member.update().incarnation())
              .put("since_ms", (nowNanos - member.statusChangedAtNanos()) / MS_NANOS));
    }
    JsonObject datagrams = new JsonObject();
    membership
        .counters()
        .counts()
        .forEach((result, count) -> datagrams.put(lowerCase(result), count));
    return new JsonObject()
        .put("name", protocol.self().name())
        .put("fleet", membership.fleet())
        .put("phase", lowerCase(protocol.phase()))
        .put("there", protocol.presentCount())
        .put("told", membership.timings().maxMembers())
        .put("counted", protocol.quotaDivisor())
        .put("part", protocol.quotaShare())
        .put("address", protocol.self().address())
        .put("incarnation", protocol.self().incarnation())
        .put("gateways", others)
        .put("datagrams", datagrams);
  }

  private static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
