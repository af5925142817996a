package org.amberpath.lab.registry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One endpoint of a {@link StandInRegistry}; must be used on the registry's event loop only. */
public final class StandInEndpoint {
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int CODE_INVALID_ARGUMENT = 3;
  private static final int CODE_UNAVAILABLE = 14;
  private static final int CODE_UNAUTHENTICATED = 16;
  private static final String CONSUL_PATH = "/v1";
  private static final String AUTHENTICATE_PATH = "/v3/auth/authenticate";

  private final Vertx vertx;
  private final HttpServerOptions options;
  private final StandInRegistry registry;
  private final Set<HttpConnection> connections = new LinkedHashSet<>();
  private final Set<EtcdWatchStream> watches = new LinkedHashSet<>();
  private HttpServer server;

  /**
   * Completes when the previous server has closed. Guards against starting a server while the
   * previous one on the same port is still closing: the new server would share the closing one's
   * socket, accept connections, and then have no event loop to handle them.
   */
  private Future<Void> previousServerClosed = Future.succeededFuture();

  private int port;
  private EndpointBehavior behavior = EndpointBehavior.ANSWERS;
  private long lagMillis;
  private long healthySinceNanos = System.nanoTime();

  StandInEndpoint(Vertx vertx, HttpServerOptions options, StandInRegistry registry, int port) {
    this.vertx = vertx;
    this.options = options;
    this.registry = registry;
    this.port = port;
  }

  /** The port on which the endpoint listens, or listened last. */
  public int port() {
    return port;
  }

  /** Whether the endpoint has answered without delay for at least the given time. */
  public boolean isHealthyFor(long durationNanos) {
    return behavior == EndpointBehavior.ANSWERS
        && lagMillis == 0
        && System.nanoTime() - healthySinceNanos >= durationNanos;
  }

  Future<Void> listen() {
    server =
        vertx
            .createHttpServer(new HttpServerOptions(options).setPort(port).setHost("127.0.0.1"))
            .connectionHandler(
                connection -> {
                  connections.add(connection);
                  connection.closeHandler(closed -> connections.remove(connection));
                })
            .requestHandler(this::requestReceived);
    return server
        .listen()
        .map(
            listening -> {
              port = listening.actualPort();
              return null;
            });
  }

  /** Sets the fault mode; modes other than ANSWERS and SILENT break open connections. */
  public void setBehavior(EndpointBehavior newBehavior) {
    EndpointBehavior previousBehavior = behavior;
    behavior = newBehavior;
    healthySinceNanos = System.nanoTime();
    if (previousBehavior == EndpointBehavior.REFUSES && newBehavior != EndpointBehavior.REFUSES) {
      listenOnceClosed();
    } else if (newBehavior == EndpointBehavior.REFUSES
        && previousBehavior != EndpointBehavior.REFUSES) {
      previousServerClosed = server.close();
      breakConnections();
    } else if (newBehavior == EndpointBehavior.UNAVAILABLE
        || newBehavior == EndpointBehavior.UNAUTHORISED) {
      breakConnections();
    }
    notifyWatchers();
  }

  private void listenOnceClosed() {
    Future<Void> awaitedClose = previousServerClosed;
    awaitedClose.onComplete(
        closed -> {
          if (awaitedClose == previousServerClosed && behavior != EndpointBehavior.REFUSES) {
            listen();
          }
        });
  }

  /** Sets the delay of watch events and responses. */
  public void setLagMillis(long newLagMillis) {
    lagMillis = newLagMillis;
    healthySinceNanos = System.nanoTime();
  }

  /** Closes all connections; open watch streams end with an incomplete line. */
  public void breakConnections() {
    List.copyOf(watches).forEach(EtcdWatchStream::writeIncompleteLine);
    watches.clear();
    List.copyOf(connections).forEach(HttpConnection::close);
  }

  /** Ends the response of each open watch properly; the connections stay open. */
  public void endWatches() {
    List<EtcdWatchStream> ended = List.copyOf(watches);
    watches.clear();
    ended.forEach(EtcdWatchStream::end);
  }

  void addWatch(EtcdWatchStream watch) {
    watches.add(watch);
  }

  void removeWatch(EtcdWatchStream watch) {
    watches.remove(watch);
  }

  /** Whether the endpoint sends changes on a watch now: it answers, and the watch is open. */
  boolean canSendTo(EtcdWatchStream watch) {
    return behavior == EndpointBehavior.ANSWERS && watches.contains(watch);
  }

  /** Sends the pending changes on all watches, after the lag. */
  void notifyWatchers() {
    List.copyOf(watches).forEach(watch -> afterLag(watch::sendChanges));
  }

  private void afterLag(Runnable task) {
    if (lagMillis > 0) {
      vertx.setTimer(lagMillis, timer -> task.run());
    } else {
      task.run();
    }
  }

  private void requestReceived(HttpServerRequest request) {
    request
        .body()
        .onSuccess(
            body -> {
              if (behavior != EndpointBehavior.SILENT) {
                afterLag(() -> respondOrReject(request, body));
              }
            });
  }

  private void respondOrReject(HttpServerRequest request, Buffer body) {
    try {
      respond(request, body);
    } catch (RuntimeException e) {
      JsonResponses.sendError(
          request.response(),
          STATUS_BAD_REQUEST,
          CODE_INVALID_ARGUMENT,
          String.valueOf(e.getMessage()));
    }
  }

  private void respond(HttpServerRequest request, Buffer body) {
    String path = request.path();
    boolean isConsul = path.startsWith(CONSUL_PATH);
    String presentedToken = request.getHeader(isConsul ? "X-Consul-Token" : "Authorization");
    String requiredToken = registry.requiredToken();
    if (behavior == EndpointBehavior.UNAVAILABLE) {
      JsonResponses.sendError(
          request.response(), STATUS_UNAVAILABLE, CODE_UNAVAILABLE, "no leader");
    } else if (path.equals(AUTHENTICATE_PATH)) {
      registry.etcd().sendToken(request.response(), requiredToken);
    } else if (behavior == EndpointBehavior.UNAUTHORISED
        || (!requiredToken.isEmpty() && !requiredToken.equals(presentedToken))) {
      JsonResponses.sendError(
          request.response(), STATUS_UNAUTHORIZED, CODE_UNAUTHENTICATED, "invalid auth token");
    } else if (isConsul) {
      registry.consul().respond(request, body);
    } else {
      registry.etcd().respond(this, request, body);
    }
  }
}
