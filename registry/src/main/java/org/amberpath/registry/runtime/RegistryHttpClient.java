package org.amberpath.registry.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryFailure;

/**
 * HTTP client of a registry, with TLS and a token if they are configured. Failure messages contain
 * no secrets, since none is built from data that was sent or read. All calls come on one event
 * loop.
 */
final class RegistryHttpClient {
  private static final int CONNECT_TIMEOUT_MILLIS = 400;
  private static final int KEEP_ALIVE_SECONDS = 30;
  private static final int MAX_CONNECTIONS = 12;
  private static final int MAX_QUEUED_REQUESTS = 64;

  /**
   * Receives the result of a request. Exactly one of {@link #completed} and {@link #failed} is
   * called, once, unless the request is cancelled.
   */
  interface ResponseHandler {
    /** Receives a complete response that is no failure. */
    void completed(int status, MultiMap headers, byte[] body);

    /** Receives a line of the response; only for {@link ResponseKind#LINES}. */
    default void line(byte[] line) {}

    /**
     * Receives the failure of a request.
     *
     * @param retryAfterNanos the delay that the server asked for; 0 for none
     */
    void failed(RegistryFailure failure, long retryAfterNanos);
  }

  /** How a response is read. */
  enum ResponseKind {
    /** As one body. */
    COMPLETE,
    /** As a stream of lines, each passed on when it is received. */
    LINES
  }

  private final Vertx vertx;
  private final RegistrySettings settings;
  private final RegistryProtocol protocol;
  private final RegistryTls tls;
  private final RegistryCredentials credentials;
  private HttpClientAgent client;

  /**
   * The client with the files from before the last reload; its connections stay open until they
   * end.
   */
  private HttpClientAgent previousClient;

  RegistryHttpClient(Vertx vertx, RegistrySettings settings, RegistryProtocol protocol) {
    this.vertx = vertx;
    this.settings = settings;
    this.protocol = protocol;
    tls = new RegistryTls(settings);
    credentials = new RegistryCredentials(vertx, settings);
    client = newClient();
  }

  private HttpClientAgent newClient() {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS);
    tls.addTo(options);
    return vertx.createHttpClient(
        options,
        new PoolOptions()
            .setHttp1MaxSize(MAX_CONNECTIONS)
            .setMaxWaitQueueSize(MAX_QUEUED_REQUESTS));
  }

  /**
   * Sends a request, after fetching a token if one is needed and missing. Must be called on an
   * event loop: elsewhere a response could arrive before its handler is set, and would be lost.
   */
  RegistryHttpExchange send(
      int endpoint, RegistryProtocol.Request request, ResponseKind kind, ResponseHandler handler) {
    if (!Context.isOnEventLoopThread()) {
      throw new IllegalStateException("requests must be sent on an event loop thread");
    }
    RegistryHttpExchange exchange =
        new RegistryHttpExchange(this, settings.endpoints().get(endpoint), request, kind, handler);
    if (credentials.isTokenMissing()) {
      renewToken(exchange.endpoint())
          .onComplete(
              renewal -> {
                if (renewal.succeeded() && renewal.result()) {
                  exchange.start();
                } else if (renewal.failed() && !isRejection(renewal.cause())) {
                  exchange.failWith(renewal.cause());
                } else {
                  exchange.fail(RegistryFailure.UNAUTHORISED, 0);
                }
              });
    } else {
      exchange.start();
    }
    return exchange;
  }

  /** Whether the registry responded, but without a token. */
  private static boolean isRejection(Throwable cause) {
    return cause instanceof CredentialException.LoginRejected
        || cause instanceof InvalidDocumentException;
  }

  /** Opens a request with the current token. */
  Future<HttpClientRequest> open(SocketAddress endpoint, RegistryProtocol.Request request) {
    return client.request(requestOptions(endpoint, request, credentials.token()));
  }

  /** Fetches a new token; returns false if it equals the rejected one. */
  Future<Boolean> renewToken(SocketAddress endpoint) {
    return credentials.renewToken(login -> logIn(endpoint, login));
  }

  private Future<String> logIn(SocketAddress endpoint, RegistryProtocol.Request login) {
    return client
        .request(requestOptions(endpoint, login, ""))
        .compose(request -> request.send(Buffer.buffer(login.body())))
        .compose(
            response ->
                response.statusCode() == 200
                    ? response.body()
                    : Future.failedFuture(
                        new CredentialException.LoginRejected(response.statusCode())))
        .map(body -> EtcdProtocol.decodeLogin(body.getBytes()));
  }

  private RequestOptions requestOptions(
      SocketAddress endpoint, RegistryProtocol.Request request, String token) {
    RequestOptions options =
        new RequestOptions()
            .setServer(endpoint)
            .setHost(endpoint.hostAddress())
            .setPort(endpoint.port())
            .setMethod(request.method())
            .setURI(request.uri());
    if (request.body() != null) {
      options.putHeader("Content-Type", "application/json");
    }
    if (!token.isEmpty()) {
      boolean isEtcd = settings.protocol() == RegistrySettings.ProtocolKind.ETCD;
      options.putHeader(isEtcd ? "Authorization" : "X-Consul-Token", token);
    }
    return options;
  }

  RegistryProtocol protocol() {
    return protocol;
  }

  int maxResponseBytes() {
    return settings.maxResponseBytes();
  }

  /**
   * Rereads the token and TLS files for new connections; open connections stay. If a TLS file can't
   * be used, the client keeps the previous ones.
   */
  Future<Void> reload() {
    credentials.discardToken();
    if (!tls.isEnabled()) {
      return Future.succeededFuture();
    }
    return tls.validate(vertx)
        .map(
            valid -> {
              if (previousClient != null) {
                previousClient.close();
              }
              previousClient = client;
              client = newClient();
              return null;
            });
  }

  void close() {
    if (previousClient != null) {
      previousClient.close();
    }
    client.close();
  }
}
