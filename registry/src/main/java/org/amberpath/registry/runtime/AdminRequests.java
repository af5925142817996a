package org.amberpath.registry.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.amberpath.registry.RegistryFailure;

/**
 * Sends requests of operators and tasks. Each request times out after {@value #TIMEOUT_MILLIS} ms
 * and fails with a {@link RegistryRequestException}. Thread-safe: the requests run on the event
 * loop on which this object was created, or on one of Vert.x's if it was created elsewhere.
 */
final class AdminRequests {
  private static final long TIMEOUT_MILLIS = 3000;

  /** A complete response that is no failure. */
  @SuppressWarnings("ArrayRecordComponent") // Passed on, never compared.
  record Response(int status, MultiMap headers, byte[] body) {}

  private final RegistrySettings settings;
  private final RegistryProtocol protocol;
  private final RegistryHttpClient client;
  private final Context eventLoop;

  AdminRequests(Vertx vertx, RegistrySettings settings) {
    eventLoop = vertx.getOrCreateContext();
    this.settings = settings;
    protocol = RegistrySource.protocol(settings);
    client = new RegistryHttpClient(vertx, settings, protocol);
  }

  RegistryProtocol protocol() {
    return protocol;
  }

  /**
   * Returns the result of the first endpoint that responds. Only for requests that may be sent more
   * than once.
   */
  <T> Future<T> fromFirstResponding(IntFunction<Future<T>> request) {
    return sendFrom(0, request);
  }

  private <T> Future<T> sendFrom(int endpoint, IntFunction<Future<T>> request) {
    return request
        .apply(endpoint)
        .recover(
            e ->
                endpoint + 1 < settings.endpoints().size()
                    ? sendFrom(endpoint + 1, request)
                    : Future.failedFuture(e));
  }

  /** Returns the first endpoint that responds to a read. */
  Future<Integer> firstReachable() {
    return fromFirstResponding(
        endpoint -> send(endpoint, protocol.heartbeatRequest()).map(endpoint));
  }

  Future<Response> send(int endpoint, RegistryProtocol.Request request) {
    // Guards against a lost response: off the event loop, a response could arrive before its
    // handler is set.
    return Future.future(
        response ->
            eventLoop.runOnContext(now -> sendOnEventLoop(endpoint, request).onComplete(response)));
  }

  private Future<Response> sendOnEventLoop(int endpoint, RegistryProtocol.Request request) {
    String address = settings.endpoints().get(endpoint).toString();
    Promise<Response> response = Promise.promise();
    RegistryHttpExchange exchange =
        client.send(
            endpoint,
            request,
            RegistryHttpClient.ResponseKind.COMPLETE,
            new RegistryHttpClient.ResponseHandler() {
              @Override
              public void completed(int status, MultiMap headers, byte[] body) {
                response.tryComplete(new Response(status, headers, body));
              }

              @Override
              public void failed(RegistryFailure why, long retryAfterNanos) {
                response.tryFail(new RegistryRequestException.EndpointFailed(address, why));
              }
            });
    return response
        .future()
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .recover(
            e -> {
              exchange.cancel();
              return Future.failedFuture(
                  e instanceof RegistryRequestException
                      ? e
                      : new RegistryRequestException.AnswerTimedOut(address, TIMEOUT_MILLIS));
            });
  }

  void close() {
    client.close();
  }
}
