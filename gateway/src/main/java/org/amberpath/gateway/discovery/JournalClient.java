package org.amberpath.gateway.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import org.amberpath.gateway.cache.ConnectFailure;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.LocalBackoff;

/**
 * HTTP client that long-polls the journal service for discovery events. At most one poll is in
 * flight; the next one starts when the previous one ends, after a delay of up to 100 ms if it
 * failed. A failed poll changes no endpoint. All calls are made on one event loop.
 */
public final class JournalClient {
  private static final Logger LOG = Logger.getLogger(JournalClient.class.getName());
  private static final JsonFactory JSON_FACTORY = new JsonFactory();

  /**
   * The longest time that the journal service may hold a reply back while it has no new event. An
   * event that a stalled poll withholds counts as notified 2 s later.
   */
  public static final long MAX_WAIT_MILLIS = 2000;

  /**
   * Timeout of a poll beyond its {@code max_wait}, of a response body from the end of the response
   * headers, and of a TCP connect.
   */
  private static final long REPLY_TIMEOUT_MILLIS = 600;

  private static final long RETRY_DELAY_MILLIS = 100;
  private static final int KEEP_ALIVE_SECONDS = 30;
  private static final int STATUS_OK = 200;
  private static final int MAX_LOGGED_CHARACTERS = 200;

  /** The {@code max_wait} of a poll whose reply routing decisions are waiting for. */
  private static final long URGENT_WAIT_MILLIS = 1;

  /**
   * The limits of one poll.
   *
   * @param maxWaitMillis the longest time that the journal service may hold a reply back
   * @param maxReplyBytes the size of the largest response body that is accepted
   */
  public record Bounds(long maxWaitMillis, long maxReplyBytes) {}

  /**
   * The components that receive the results of polls.
   *
   * @param decoder decodes replies and keeps the position in the journal
   * @param endpoints receives the decoded discovery events
   * @param freshness is notified when a poll is sent, when its reply is received and when it fails
   * @param afterPoll runs on the event loop after each reply and each failed poll
   */
  public record Sinks(
      JournalDecoder decoder,
      EndpointListener endpoints,
      DiscoveryFreshness freshness,
      Runnable afterPoll) {}

  private final Vertx vertx;
  private final Bounds bounds;
  private final JournalDecoder decoder;
  private final EndpointListener endpoints;
  private final DiscoveryFreshness freshness;
  private final Runnable afterPoll;
  private final LongSupplier clock;
  private final HttpClient client;
  private final LocalBackoff localBackoff = new LocalBackoff();
  private SocketAddress address;
  private HttpClientRequest pendingRequest;

  /**
   * Generation of the polls, incremented when the address changes and on close. The result of a
   * poll of an earlier generation is ignored.
   */
  private int currentGeneration;

  private boolean started;
  private int consecutiveFailures;

  /**
   * Creates a client that polls nothing before {@link #start()}.
   *
   * @param address the address of the journal service
   * @param clock monotonic time in nanoseconds, the same clock as that of {@link Sinks#freshness()}
   */
  public JournalClient(
      Vertx vertx, SocketAddress address, Bounds bounds, Sinks sinks, LongSupplier clock) {
    this.vertx = vertx;
    this.address = address;
    this.bounds = bounds;
    this.clock = clock;
    decoder = sinks.decoder();
    endpoints = sinks.endpoints();
    freshness = sinks.freshness();
    afterPoll = sinks.afterPoll();
    client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout((int) REPLY_TIMEOUT_MILLIS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS));
  }

  /** Sends the first poll; each poll that ends starts the next one. */
  public void start() {
    started = true;
    poll(currentGeneration);
  }

  /**
   * Aborts the poll in flight and polls the journal at another address, at once if this client was
   * started. The position in the journal is kept.
   */
  public void changeAddress(SocketAddress newAddress) {
    address = newAddress;
    abortPendingPoll();
    if (started) {
      poll(currentGeneration);
    }
  }

  private void abortPendingPoll() {
    currentGeneration++;
    if (pendingRequest != null) {
      pendingRequest.reset();
    }
  }

  private void poll(int generation) {
    if (generation != currentGeneration) {
      return;
    }
    RequestOptions options =
        new RequestOptions()
            .setServer(address)
            .setHost(address.hostAddress())
            .setPort(address.port())
            .setMethod(HttpMethod.GET);
    openRequest(options)
        .compose(request -> send(generation, request))
        .onComplete(result -> pollCompleted(generation, result));
  }

  /**
   * Requests a connection. Guards against a client call that throws instead of returning a failed
   * future: no further poll would be scheduled.
   */
  private Future<HttpClientRequest> openRequest(RequestOptions options) {
    try {
      return client.request(options);
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  private Future<Buffer> send(int generation, HttpClientRequest request) {
    localBackoff.attemptSucceeded();
    if (generation != currentGeneration) {
      request.reset();
      return Future.failedFuture("superseded by a poll at another address");
    }
    pendingRequest = request;
    freshness.requestSent(clock.getAsLong());
    long waitMillis = freshness.awaitsResponse() ? URGENT_WAIT_MILLIS : bounds.maxWaitMillis();
    request.setURI("/journal?tail=" + decoder.position() + "&max_wait=" + waitMillis);
    return request
        .send()
        // Guards against a journal that stops in the middle of a response body and keeps the
        // connection open: the events of that reply count as notified 2 s later.
        .compose(
            response -> readBody(response).timeout(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        .timeout(waitMillis + REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        // Guards against reuse of a connection on which the journal stalled or disconnected.
        .onFailure(e -> request.reset());
  }

  private void pollCompleted(int generation, AsyncResult<Buffer> result) {
    if (generation != currentGeneration) {
      return;
    }
    if (result.succeeded() && decodeReply(result.result())) {
      if (consecutiveFailures > 0) {
        LOG.info(
            "journal at "
                + address
                + ": reply received after "
                + consecutiveFailures
                + " failed polls");
        consecutiveFailures = 0;
      }
      freshness.responseReceived(clock.getAsLong());
      poll(generation);
    } else {
      if (result.failed()) {
        logFailure(String.valueOf(result.cause().getMessage()));
      }
      vertx.setTimer(retryDelayMillis(result.cause()), retry -> poll(generation));
    }
    afterPoll.run();
  }

  /**
   * Returns the delay in milliseconds before the next poll after a failed one. A poll that was not
   * sent because this host lacked a resource, such as descriptors or ports, is reported as a
   * failure of the journal only once the local backoff is exhausted.
   */
  private long retryDelayMillis(Throwable cause) {
    boolean isLocalFailure = cause != null && ConnectFailure.of(cause).isLocal();
    long delayMillis = isLocalFailure ? localBackoff.attemptFailed() : RETRY_DELAY_MILLIS;
    if (!isLocalFailure || localBackoff.isExhausted()) {
      freshness.requestFailed(clock.getAsLong());
    }
    return delayMillis;
  }

  /**
   * Collects the body of a response with status 200. Guards against exhausted memory from an
   * endless body: the future fails once the body exceeds the maximum size.
   */
  private Future<Buffer> readBody(HttpClientResponse response) {
    if (response.statusCode() != STATUS_OK) {
      return Future.failedFuture(
          "HTTP status " + response.statusCode() + ", expected " + STATUS_OK);
    }
    Promise<Buffer> promise = Promise.promise();
    Buffer body = Buffer.buffer();
    response
        .exceptionHandler(promise::tryFail)
        .endHandler(end -> promise.tryComplete(body))
        .handler(
            chunk -> {
              if (body.length() + (long) chunk.length() <= bounds.maxReplyBytes()) {
                body.appendBuffer(chunk);
              } else {
                promise.tryFail("reply exceeds the limit of " + bounds.maxReplyBytes() + " bytes");
              }
            });
    return promise.future();
  }

  /**
   * Decodes a reply and passes its events to the endpoint listener; returns whether the reply could
   * be decoded. A reply that cannot be decoded is logged.
   */
  private boolean decodeReply(Buffer body) {
    try (JsonParser parser = JSON_FACTORY.createParser(body.getBytes())) {
      decoder.decode(JsonReader.read("journal", parser), endpoints);
      return true;
    } catch (IOException | RuntimeException e) {
      logFailure("reply cannot be decoded: " + e.getMessage());
      return false;
    }
  }

  /**
   * Counts a failed poll. Only the first of consecutive failures is logged, so that a journal that
   * is down does not fill the log.
   */
  private void logFailure(String reason) {
    if (consecutiveFailures == 0) {
      LOG.warning(
          "journal at "
              + address
              + ": poll failed, retrying; known endpoints are kept: "
              + reason.substring(0, Math.min(reason.length(), MAX_LOGGED_CHARACTERS)));
    }
    consecutiveFailures++;
  }

  /** Aborts the poll in flight and stops polling; the client cannot be restarted. */
  public void close() {
    abortPendingPoll();
    client.close();
  }
}
