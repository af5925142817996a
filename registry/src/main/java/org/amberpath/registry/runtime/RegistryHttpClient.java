package org.amberpath.registry.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.net.ssl.SSLException;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryFailure;

/**
 * Requests to the endpoints of a registry, with what lets a client in: TLS from PEM files, a token
 * from a file or from a log-in. Secrets are in no message of a failure, since none is made from
 * what was sent or read.
 */
final class RegistryHttpClient {
  private static final int CONNECT_MS = 400,
      IDLE_S = 30,
      CONNECTIONS = 12,
      WAITING = 64,
      LONGEST_SECRET = 16_384;
  private static final int UNAUTHORISED = 401, FORBIDDEN = 403;
  private static final long SECOND = 1_000_000_000, LONGEST_RETRY_S = 60;

  /** What a request came to: one of the ends, once, unless it was dropped. */
  interface ResponseHandler {
    void completed(int status, MultiMap headers, byte[] body);

    /** A line of a stream; only where lines were asked for. */
    default void line(byte[] line) {}

    void failed(RegistryFailure why, long retryAfter);
  }

  /** A request under way. */
  final class Exchange {
    private final SocketAddress to;
    private final RegistryProtocol.Request ask;
    private final boolean lines;
    private final ResponseHandler answer;
    private HttpClientRequest request;
    private boolean over, renewed;

    private Exchange(
        SocketAddress to, RegistryProtocol.Request ask, boolean lines, ResponseHandler answer) {
      this.to = to;
      this.ask = ask;
      this.lines = lines;
      this.answer = answer;
    }

    /** Lets go of it; nothing more is heard. */
    void cancel() {
      over = true;
      if (request != null) {
        request.reset();
      }
    }

    private void go() {
      client
          .request(options(to, ask, token))
          .compose(
              made -> {
                request = made;
                if (over) {
                  made.reset();
                  return Future.failedFuture("dropped");
                }
                return ask.body() == null ? made.send() : made.send(Buffer.buffer(ask.body()));
              })
          .onSuccess(this::read)
          .onFailure(this::failed);
    }

    private void read(HttpClientResponse response) {
      response.exceptionHandler(this::failed);
      if (lines && response.statusCode() == 200) {
        RecordParser parser =
            RecordParser.newDelimited(
                "\n",
                line -> {
                  if (!over) {
                    answer.line(line.getBytes());
                  }
                });
        // Guards against a line without end.
        parser.maxRecordSize(settings.maxResponseBytes());
        parser.exceptionHandler(e -> unreadable());
        response.handler(parser);
        response.endHandler(end -> end(RegistryFailure.BROKEN, 0));
        return;
      }
      Buffer body = Buffer.buffer();
      response.handler(
          more -> {
            if (body.length() + (long) more.length() > settings.maxResponseBytes()) {
              unreadable();
            } else {
              body.appendBuffer(more);
            }
          });
      response.endHandler(end -> whole(response, body.getBytes()));
    }

    private void whole(HttpClientResponse response, byte[] body) {
      int status = response.statusCode();
      if (over) {
        return;
      }
      if ((status == UNAUTHORISED || status == FORBIDDEN) && !renewed) {
        // Guards against a token that ran out: a new one is fetched, once.
        renewed = true;
        renew(to)
            .onComplete(
                done -> {
                  if (!over && done.succeeded() && done.result()) {
                    go();
                  } else {
                    end(RegistryFailure.UNAUTHORISED, 0);
                  }
                });
        return;
      }
      RegistryFailure why =
          protocol.isCompacted(status, body) ? null : protocol.failure(status, body);
      if (why != null) {
        end(why, retryAfter(response.getHeader("Retry-After")));
      } else {
        over = true;
        answer.completed(status, response.headers(), body);
      }
    }

    private void unreadable() {
      if (!over) {
        request.reset();
        end(RegistryFailure.UNREADABLE, 0);
      }
    }

    private void failed(Throwable why) {
      for (Throwable cause = why; cause != null; cause = cause.getCause()) {
        if (cause instanceof SSLException) {
          end(RegistryFailure.UNTRUSTED, 0);
          return;
        } else if (cause instanceof io.netty.channel.ConnectTimeoutException) {
          end(RegistryFailure.TIMED_OUT, 0);
          return;
        } else if (cause instanceof ConnectException) {
          end(RegistryFailure.REFUSED, 0);
          return;
        }
      }
      end(RegistryFailure.BROKEN, 0);
    }

    private void end(RegistryFailure why, long retryAfter) {
      if (!over) {
        over = true;
        answer.failed(why, retryAfter);
      }
    }
  }

  private final Vertx vertx;
  private final RegistrySettings settings;
  private final RegistryProtocol protocol;
  private HttpClientAgent client;

  /** The client before the files were read anew: its connections stay until they end. */
  private HttpClientAgent retired;

  private String token = "";

  RegistryHttpClient(Vertx vertx, RegistrySettings access, RegistryProtocol form) {
    this.vertx = vertx;
    this.settings = access;
    this.protocol = form;
    client = client();
  }

  private HttpClientAgent client() {
    HttpClientOptions options =
        new HttpClientOptions().setConnectTimeout(CONNECT_MS).setKeepAliveTimeout(IDLE_S);
    if (settings.trust() != null) {
      options.setSsl(true).setTrustOptions(trust());
      if (settings.certificate() != null) {
        options.setKeyCertOptions(certificate());
      }
    }
    return vertx.createHttpClient(
        options, new PoolOptions().setHttp1MaxSize(CONNECTIONS).setMaxWaitQueueSize(WAITING));
  }

  private PemTrustOptions trust() {
    return new PemTrustOptions().addCertPath(settings.trust().toString());
  }

  private PemKeyCertOptions certificate() {
    return new PemKeyCertOptions()
        .setCertPath(settings.certificate().toString())
        .setKeyPath(settings.key().toString());
  }

  /**
   * Sends a request once there is a token, where one is needed. On an event loop only: elsewhere an
   * answer may come before anybody listens to it, and is then lost.
   */
  Exchange send(int endpoint, RegistryProtocol.Request ask, boolean lines, ResponseHandler answer) {
    if (!Context.isOnEventLoopThread()) {
      throw new IllegalStateException("not on an event loop");
    }
    Exchange sent = new Exchange(settings.endpoints().get(endpoint), ask, lines, answer);
    if (token.isEmpty() && (settings.token() != null || settings.user() != null)) {
      renew(sent.to)
          .onComplete(
              done -> {
                if (!sent.over && done.succeeded() && done.result()) {
                  sent.go();
                } else if (done.failed() && !(done.cause() instanceof InvalidDocumentException)) {
                  sent.failed(done.cause());
                } else {
                  sent.end(RegistryFailure.UNAUTHORISED, 0);
                }
              });
    } else {
      sent.go();
    }
    return sent;
  }

  private RequestOptions options(SocketAddress to, RegistryProtocol.Request ask, String shown) {
    RequestOptions options =
        new RequestOptions()
            .setServer(to)
            .setHost(to.hostAddress())
            .setPort(to.port())
            .setMethod(ask.method())
            .setURI(ask.uri());
    if (ask.body() != null) {
      options.putHeader("Content-Type", "application/json");
    }
    if (!shown.isEmpty()) {
      options.putHeader(
          settings.protocol() == RegistrySettings.ProtocolKind.ETCD
              ? "Authorization"
              : "X-Consul-Token",
          shown);
    }
    return options;
  }

  /** Fetches the token anew; false where it is the one that was not taken. */
  private Future<Boolean> renew(SocketAddress from) {
    String before = token;
    Future<String> next;
    if (settings.token() != null) {
      next = secret(settings.token());
    } else if (settings.user() != null) {
      next =
          secret(settings.password())
              .compose(
                  password -> login(from, EtcdProtocol.loginRequest(settings.user(), password)));
    } else {
      return Future.succeededFuture(false);
    }
    return next.map(
        now -> {
          token = now;
          return !now.equals(before);
        });
  }

  private Future<String> login(SocketAddress from, RegistryProtocol.Request ask) {
    Promise<String> token = Promise.promise();
    client
        .request(options(from, ask, ""))
        .compose(request -> request.send(Buffer.buffer(ask.body())))
        .compose(
            response ->
                response.statusCode() == 200
                    ? response.body()
                    : Future.failedFuture(
                        new InvalidDocumentException("log-in: status " + response.statusCode())))
        .map(body -> EtcdProtocol.decodeLogin(body.getBytes()))
        .onComplete(token);
    return token.future();
  }

  private Future<String> secret(Path file) {
    return vertx.executeBlocking(
        () -> {
          try {
            if (Files.size(file) > LONGEST_SECRET) {
              throw new IOException("too long");
            }
            return Files.readString(file, StandardCharsets.UTF_8).strip();
          } catch (IOException e) {
            throw new UncheckedIOException("can't be read", e);
          }
        });
  }

  /**
   * Takes files anew: for connections to come; those that are open stay. What can't be read changes
   * nothing.
   */
  Future<Void> reload() {
    token = "";
    if (settings.trust() == null) {
      return Future.succeededFuture();
    }
    return vertx
        .executeBlocking(
            () -> {
              trust().getTrustManagerFactory(vertx);
              return settings.certificate() == null
                  ? null
                  : certificate().getKeyManagerFactory(vertx);
            })
        .map(
            good -> {
              if (retired != null) {
                retired.close();
              }
              retired = client;
              client = client();
              return null;
            });
  }

  private static long retryAfter(String header) {
    try {
      return header == null
          ? 0
          : Math.max(0, Math.min(LONGEST_RETRY_S, Long.parseLong(header.strip()))) * SECOND;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  void close() {
    if (retired != null) {
      retired.close();
    }
    client.close();
  }
}
