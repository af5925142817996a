package org.amberpath.registry.runtime;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import javax.net.ssl.SSLException;
import org.amberpath.registry.RegistryFailure;

/**
 * One HTTP request and its response. It ends when its handler is called with a result, or when it
 * is cancelled.
 */
final class RegistryHttpExchange {
  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long MAX_RETRY_AFTER_SECONDS = 60;

  private final RegistryHttpClient client;
  private final SocketAddress endpoint;
  private final RegistryProtocol.Request request;
  private final RegistryHttpClient.ResponseKind kind;
  private final RegistryHttpClient.ResponseHandler handler;
  private HttpClientRequest httpRequest;
  private boolean isEnded;
  private boolean isTokenRenewed;

  RegistryHttpExchange(
      RegistryHttpClient client,
      SocketAddress endpoint,
      RegistryProtocol.Request request,
      RegistryHttpClient.ResponseKind kind,
      RegistryHttpClient.ResponseHandler handler) {
    this.client = client;
    this.endpoint = endpoint;
    this.request = request;
    this.kind = kind;
    this.handler = handler;
  }

  SocketAddress endpoint() {
    return endpoint;
  }

  /** Cancels the request: the handler is not called any more. */
  void cancel() {
    isEnded = true;
    if (httpRequest != null) {
      httpRequest.reset();
    }
  }

  /** Sends the request, unless it was cancelled. */
  void start() {
    if (isEnded) {
      return;
    }
    client
        .open(endpoint, request)
        .compose(
            opened -> {
              httpRequest = opened;
              if (isEnded) {
                opened.reset();
                return Future.failedFuture(new CancellationException());
              }
              return request.body() == null
                  ? opened.send()
                  : opened.send(Buffer.buffer(request.body()));
            })
        .onSuccess(this::readResponse)
        .onFailure(this::failWith);
  }

  private void readResponse(HttpClientResponse response) {
    response.exceptionHandler(this::failWith);
    if (kind == RegistryHttpClient.ResponseKind.LINES && response.statusCode() == 200) {
      readLines(response);
      return;
    }
    Buffer body = Buffer.buffer();
    response.handler(
        part -> {
          if (body.length() + (long) part.length() > client.maxResponseBytes()) {
            failUnreadable();
          } else {
            body.appendBuffer(part);
          }
        });
    response.endHandler(end -> completed(response, body.getBytes()));
  }

  private void readLines(HttpClientResponse response) {
    RecordParser parser =
        RecordParser.newDelimited(
            "\n",
            line -> {
              if (!isEnded) {
                handler.line(line.getBytes());
              }
            });
    // Guards against unbounded memory use by a line that never ends.
    parser.maxRecordSize(client.maxResponseBytes());
    parser.exceptionHandler(e -> failUnreadable());
    response.handler(parser);
    response.endHandler(end -> fail(RegistryFailure.BROKEN, 0));
  }

  private void completed(HttpClientResponse response, byte[] body) {
    if (isEnded) {
      return;
    }
    int status = response.statusCode();
    if ((status == UNAUTHORIZED || status == FORBIDDEN) && !isTokenRenewed) {
      renewToken();
      return;
    }
    Optional<RegistryFailure> failure =
        client.protocol().isCompacted(status, body)
            ? Optional.empty()
            : client.protocol().failure(status, body);
    if (failure.isPresent()) {
      fail(failure.get(), retryAfterNanos(response.getHeader("Retry-After")));
    } else {
      isEnded = true;
      handler.completed(status, response.headers(), body);
    }
  }

  /**
   * Guards against an expired token: fetches a new token and sends the request again, once per
   * request.
   */
  private void renewToken() {
    isTokenRenewed = true;
    client
        .renewToken(endpoint)
        .onComplete(
            renewal -> {
              if (renewal.succeeded() && renewal.result()) {
                start();
              } else {
                fail(RegistryFailure.UNAUTHORISED, 0);
              }
            });
  }

  private void failUnreadable() {
    if (!isEnded) {
      httpRequest.reset();
      fail(RegistryFailure.UNREADABLE, 0);
    }
  }

  /** Ends the request with the failure that an exception stands for. */
  void failWith(Throwable error) {
    fail(failureOf(error), 0);
  }

  static RegistryFailure failureOf(Throwable error) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (cause instanceof SSLException) {
        return RegistryFailure.UNTRUSTED;
      } else if (cause instanceof ConnectTimeoutException) {
        return RegistryFailure.TIMED_OUT;
      } else if (cause instanceof ConnectException) {
        return RegistryFailure.REFUSED;
      }
    }
    return RegistryFailure.BROKEN;
  }

  /** Ends the request with a failure, unless it has ended already. */
  void fail(RegistryFailure failure, long retryAfterNanos) {
    if (!isEnded) {
      isEnded = true;
      handler.failed(failure, retryAfterNanos);
    }
  }

  private static long retryAfterNanos(String header) {
    try {
      return header == null
          ? 0
          : Math.max(0, Math.min(MAX_RETRY_AFTER_SECONDS, Long.parseLong(header.strip())))
              * SECOND_NANOS;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
