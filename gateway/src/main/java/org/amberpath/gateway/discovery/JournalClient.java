package org.amberpath.gateway.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
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

/** Asks the journal service for news again and again. What it fails to bring changes nothing. */
public final class JournalClient {
  private static final Logger LOG = Logger.getLogger(JournalClient.class.getName());
  private static final JsonFactory JSON = new JsonFactory();

  /**
   * How long the service may hold a reply back. What a stop kept back counts as told 2 s after
   * that.
   */
  public static final long WAIT_MS = 2000;

  private static final long MARGIN_MS = 600, PAUSE_MS = 100;

  /** How long a reply may be held back that is waited for. */
  private static final long NO_WAIT_MS = 1;

  private final Vertx vertx;
  private final JournalDecoder entries;
  private final EndpointListener listener;
  private final DiscoveryFreshness age;
  private final LongSupplier clock;
  private final Runnable heard;
  private final HttpClient client;
  private final long waitMs, longest;
  private SocketAddress address;
  private HttpClientRequest asked;

  /** Which run of polls is the present one: an older one ends unheard. */
  private int run;

  private boolean started;
  private int failures;
  private final LocalBackoff backoff = new LocalBackoff();

  /** A reply may hold longest bytes; heard is run after each, and after each failure. */
  public JournalClient(
      Vertx vertx,
      SocketAddress address,
      JournalDecoder entries,
      EndpointListener listener,
      long waitMs,
      long longest,
      DiscoveryFreshness age,
      LongSupplier clock,
      Runnable heard) {
    this.vertx = vertx;
    this.address = address;
    this.entries = entries;
    this.listener = listener;
    this.waitMs = waitMs;
    this.longest = longest;
    this.age = age;
    this.clock = clock;
    this.heard = heard;
    client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout((int) MARGIN_MS).setKeepAliveTimeout(30));
  }

  public void start() {
    started = true;
    poll(run);
  }

  /** Asks at another address from now on, at once; the numbers go on. */
  public void moveTo(SocketAddress next) {
    address = next;
    abandon();
    if (started) {
      poll(run);
    }
  }

  private void abandon() {
    run++;
    if (asked != null) {
      asked.reset();
    }
  }

  private void poll(int of) {
    if (of != run) {
      return;
    }
    RequestOptions options =
        new RequestOptions()
            .setServer(address)
            .setHost(address.hostAddress())
            .setPort(address.port())
            .setMethod(HttpMethod.GET);
    Future<Buffer> reply =
        opened(options)
            .compose(
                request -> {
                  backoff.ended();
                  if (of != run) {
                    request.reset();
                    return Future.failedFuture("asked elsewhere by now");
                  }
                  asked = request;
                  age.asked(clock.getAsLong());
                  long wait = age.owed() ? NO_WAIT_MS : waitMs;
                  request.setURI("/journal?tail=" + entries.pos() + "&max_wait=" + wait);
                  return request
                      .send()
                      // Guards against a reply that stops short and stays open: it counts as told 2
                      // s after that.
                      .compose(response -> body(response).timeout(MARGIN_MS, TimeUnit.MILLISECONDS))
                      .timeout(wait + MARGIN_MS, TimeUnit.MILLISECONDS)
                      // Guards against a journal that fell silent or broke off: its connection is
                      // not used again.
                      .onFailure(e -> request.reset());
                });
    reply.onComplete(
        done -> {
          if (of != run) {
            return;
          }
          if (done.succeeded() && read(done.result())) {
            if (failures > 0) {
              LOG.info("journal: answers again, after " + failures + " failed questions");
              failures = 0;
            }
            age.replied(clock.getAsLong());
            poll(of);
          } else {
            if (done.failed()) {
              failed(String.valueOf(done.cause().getMessage()));
            }
            vertx.setTimer(pause(done.cause()), again -> poll(of));
          }
          heard.run();
        });
  }

  /** Guards against a call that throws, after which nothing would be asked any more. */
  private Future<HttpClientRequest> opened(RequestOptions options) {
    try {
      return client.request(options);
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  /**
   * A question that could not be asked for want of something here is no failure of the journal's,
   * unless it lasts.
   */
  private long pause(Throwable cause) {
    boolean local = cause != null && ConnectFailure.of(cause).isLocal();
    long pause = local ? backoff.failed() : PAUSE_MS;
    if (!local || backoff.isExhausted()) {
      age.failed(clock.getAsLong());
    }
    return pause;
  }

  /** Guards against a reply without end. */
  private Future<Buffer> body(HttpClientResponse response) {
    if (response.statusCode() != 200) {
      return Future.failedFuture("status " + response.statusCode());
    }
    Promise<Buffer> whole = Promise.promise();
    Buffer body = Buffer.buffer();
    response
        .exceptionHandler(whole::tryFail)
        .endHandler(end -> whole.tryComplete(body))
        .handler(
            more -> {
              if (body.length() + (long) more.length() <= longest) {
                body.appendBuffer(more);
              } else {
                whole.tryFail("a reply of more than " + longest + " bytes");
              }
            });
    return whole.future();
  }

  private boolean read(Buffer body) {
    try (JsonParser parser = JSON.createParser(body.getBytes())) {
      JsonReader reply = JsonReader.read("journal", parser);
      entries.play(reply, listener);
      return true;
    } catch (IOException | RuntimeException e) {
      failed("unreadable: " + e.getMessage());
      return false;
    }
  }

  private void failed(String why) {
    if (failures++ == 0) {
      LOG.warning("journal: " + why.substring(0, Math.min(why.length(), 200)));
    }
  }

  public void close() {
    abandon();
    client.close();
  }
}
