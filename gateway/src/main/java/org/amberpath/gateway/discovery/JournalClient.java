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
 * Long-polls the journal service for discovery events, one poll after the other. A poll that fails
 * changes no endpoint. Used on one event loop.
 */
public final class JournalClient {
  private static final Logger LOG = Logger.getLogger(JournalClient.class.getName());
  private static final JsonFactory JSON = new JsonFactory();

  /**
   * How long the service may hold a reply back. An event that a stalled poll kept back counts as
   * notified 2 s after that.
   */
  public static final long MAX_WAIT_MILLIS = 2000;

  /** How long a reply may take beyond its wait, and from its head to its end. */
  private static final long REPLY_TIMEOUT_MILLIS = 600;

  private static final long RETRY_DELAY_MILLIS = 100;
  private static final int KEEP_ALIVE_SECONDS = 30;
  private static final int STATUS_OK = 200;
  private static final int MAX_LOGGED_CHARACTERS = 200;

  /** The wait of a poll whose reply the decisions are waiting for. */
  private static final long URGENT_WAIT_MILLIS = 1;

  /**
   * The bounds of a poll.
   *
   * @param maxWaitMillis how long the service may hold a reply back
   * @param maxReplyBytes the longest reply that is accepted
   */
  public record Bounds(long maxWaitMillis, long maxReplyBytes) {}

  /**
   * What is notified of polls and of their replies.
   *
   * @param decoder decodes replies and keeps the position
   * @param endpoints receives the decoded events
   * @param freshness is notified of polls, replies and failures
   * @param afterPoll runs after each reply and each failure
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
  private HttpClientRequest pending;

  /** The current series of polls; the results of an earlier one are ignored. */
  private int series;

  private boolean started;
  private int failures;

  /**
   * A client that polls nothing yet.
   *
   * @param clock monotonic nanoseconds, those of the freshness
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

  /** Begins to poll. */
  public void start() {
    started = true;
    poll(series);
  }

  /** Polls at another address from now on, at once; the position in the journal is kept. */
  public void moveTo(SocketAddress next) {
    address = next;
    endSeries();
    if (started) {
      poll(series);
    }
  }

  private void endSeries() {
    series++;
    if (pending != null) {
      pending.reset();
    }
  }

  private void poll(int ofSeries) {
    if (ofSeries != series) {
      return;
    }
    RequestOptions options =
        new RequestOptions()
            .setServer(address)
            .setHost(address.hostAddress())
            .setPort(address.port())
            .setMethod(HttpMethod.GET);
    connect(options)
        .compose(request -> send(ofSeries, request))
        .onComplete(result -> completed(ofSeries, result));
  }

  /** Guards the series against a call that throws, after which nothing would be polled any more. */
  private Future<HttpClientRequest> connect(RequestOptions options) {
    try {
      return client.request(options);
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  private Future<Buffer> send(int ofSeries, HttpClientRequest request) {
    localBackoff.attemptSucceeded();
    if (ofSeries != series) {
      request.reset();
      return Future.failedFuture("polled at another address by now");
    }
    pending = request;
    freshness.requestSent(clock.getAsLong());
    long waitMillis = freshness.awaitsResponse() ? URGENT_WAIT_MILLIS : bounds.maxWaitMillis();
    request.setURI("/journal?tail=" + decoder.position() + "&max_wait=" + waitMillis);
    return request
        .send()
        // Guards against a reply that stops in the middle and stays open: its events count as
        // notified 2 s after that.
        .compose(response -> body(response).timeout(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        .timeout(waitMillis + REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        // Guards against a journal that stalled or disconnected: its connection is not reused.
        .onFailure(e -> request.reset());
  }

  private void completed(int ofSeries, AsyncResult<Buffer> result) {
    if (ofSeries != series) {
      return;
    }
    if (result.succeeded() && play(result.result())) {
      if (failures > 0) {
        LOG.info("journal: answers again, after " + failures + " failed polls");
        failures = 0;
      }
      freshness.responseReceived(clock.getAsLong());
      poll(ofSeries);
    } else {
      if (result.failed()) {
        logFailure(String.valueOf(result.cause().getMessage()));
      }
      vertx.setTimer(retryDelayMillis(result.cause()), retry -> poll(ofSeries));
    }
    afterPoll.run();
  }

  /**
   * The delay after a failed poll. One that could not be sent for a local shortage does not count
   * as a failure of the journal, unless that lasts.
   */
  private long retryDelayMillis(Throwable cause) {
    boolean local = cause != null && ConnectFailure.of(cause).isLocal();
    long delayMillis = local ? localBackoff.attemptFailed() : RETRY_DELAY_MILLIS;
    if (!local || localBackoff.isExhausted()) {
      freshness.requestFailed(clock.getAsLong());
    }
    return delayMillis;
  }

  /** Collects the body of a reply. Guards against one without end. */
  private Future<Buffer> body(HttpClientResponse response) {
    if (response.statusCode() != STATUS_OK) {
      return Future.failedFuture("status " + response.statusCode());
    }
    Promise<Buffer> complete = Promise.promise();
    Buffer body = Buffer.buffer();
    response
        .exceptionHandler(complete::tryFail)
        .endHandler(end -> complete.tryComplete(body))
        .handler(
            chunk -> {
              if (body.length() + (long) chunk.length() <= bounds.maxReplyBytes()) {
                body.appendBuffer(chunk);
              } else {
                complete.tryFail("a reply of more than " + bounds.maxReplyBytes() + " bytes");
              }
            });
    return complete.future();
  }

  /** Plays a reply to the endpoints; whether it could be decoded. */
  private boolean play(Buffer body) {
    try (JsonParser parser = JSON.createParser(body.getBytes())) {
      decoder.play(JsonReader.read("journal", parser), endpoints);
      return true;
    } catch (IOException | RuntimeException e) {
      logFailure("unreadable: " + e.getMessage());
      return false;
    }
  }

  /** Logs the first failure of a row only, so that a journal that is down does not fill the log. */
  private void logFailure(String reason) {
    if (failures == 0) {
      LOG.warning(
          "journal: " + reason.substring(0, Math.min(reason.length(), MAX_LOGGED_CHARACTERS)));
    }
    failures++;
  }

  /** Ends polling; the client can't be used again. */
  public void close() {
    endSeries();
    client.close();
  }
}
