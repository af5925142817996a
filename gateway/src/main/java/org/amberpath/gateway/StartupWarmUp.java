package org.amberpath.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.logging.Logger;
import org.amberpath.gateway.cache.ReplyWarmUp;
import org.amberpath.gateway.client.RequestWarmUp;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.ResponseDetail;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEventHandler;

/**
 * Warms up the just-in-time compiler with made-up requests before the gateway serves clients.
 * Guards against a gateway that, short of CPU, answers late while its code is still interpreted and
 * attributes its own delay to the endpoints. The made-up requests are routed by a separate router;
 * they neither reach an endpoint nor change the state of the gateway's router.
 */
final class StartupWarmUp implements RoutingActions {
  private static final Logger LOG = Logger.getLogger(StartupWarmUp.class.getName());
  private static final int BATCHES = 75;
  private static final int BATCH_SIZE = 20;
  private static final int MAX_STATUS_REQUESTS = 100;
  private static final long IN_PROCESS_TIMEOUT_NANOS = 1_000_000_000;
  private static final long SOCKETS_TIMEOUT_MILLIS = 250;

  /** The simulated time between two made-up requests. */
  private static final long REQUEST_INTERVAL_NANOS = 5_000_000;

  /** The simulated time that an endpoint takes to respond. */
  private static final long RESPONSE_TIME_NANOS = 50_000_000;

  private static final long REQUEST_TIMEOUT_NANOS = 40 * RESPONSE_TIME_NANOS;
  private static final int ENDPOINTS = 8;
  private static final int OBJECTS = 40;
  private static final int PARTS = 9;
  private static final int SEGMENT_KB = 100;

  private final Vertx vertx;
  private final RoutingConfig config;
  private final RequestRouter router;
  private final Promise<Void> done = Promise.promise();
  private final long startNanos = System.nanoTime();
  private long nowNanos = startNanos;
  private int chosenEndpoint;
  private int requests;
  private int statusRequests;

  StartupWarmUp(Vertx vertx, RoutingConfig config) {
    this.vertx = vertx;
    this.config = config;
    router = new RequestRouter(config);
  }

  /**
   * Warms up the router and the codecs, for one second at most. It blocks the event loop, so the
   * gateway calls it before it listens.
   */
  void runInProcess() {
    router.decide(nowNanos, this::listEndpoints, this);
    for (int batch = 0; batch < BATCHES && !isTimeOver(); batch++) {
      for (int request = 0; request < BATCH_SIZE; request++) {
        routeRequest(++requests);
      }
      RequestWarmUp.run(BATCH_SIZE);
      ReplyWarmUp.run(BATCH_SIZE);
    }
  }

  private boolean isTimeOver() {
    return System.nanoTime() - startNanos >= IN_PROCESS_TIMEOUT_NANOS;
  }

  /**
   * Warms up the socket code by status requests over a connection to this gateway's own address: up
   * to 100 requests, for 250 ms at most. The future always succeeds, also where the connection
   * fails, so that a failed warm-up does not keep the gateway from serving.
   */
  Future<Void> runOverSockets(SocketAddress ownAddress) {
    NetClient client = vertx.createNetClient();
    client
        .connect(ownAddress)
        .onFailure(e -> done.tryComplete())
        .onSuccess(
            socket -> {
              socket
                  .handler(response -> requestStatus(socket))
                  .closeHandler(closed -> done.tryComplete());
              requestStatus(socket);
            });
    vertx.setTimer(SOCKETS_TIMEOUT_MILLIS, timer -> done.tryComplete());
    return done.future()
        .onComplete(
            ended -> {
              client.close();
              long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
              LOG.info("warm-up: " + requests + " requests in " + tookMillis + " ms");
            });
  }

  private void requestStatus(NetSocket socket) {
    if (++statusRequests > MAX_STATUS_REQUESTS) {
      done.tryComplete();
    } else if (!done.future().isComplete()) {
      socket.write(RequestWarmUp.statusRequest());
    }
  }

  private void routeRequest(int number) {
    long id = number;
    int trafficClass = number % config.trafficClassCount();
    long objectId = id % OBJECTS + 1;
    int partNumber = (int) (id % PARTS);
    ResponseDetail detail = number % 3 == 0 ? ResponseDetail.FILLED : ResponseDetail.HIT;
    nowNanos += REQUEST_INTERVAL_NANOS;
    router.decide(
        nowNanos,
        events ->
            events.requestReceived(
                new RequestDetails(
                    id,
                    trafficClass,
                    objectId,
                    0,
                    partNumber,
                    REQUEST_TIMEOUT_NANOS,
                    SEGMENT_KB,
                    false)),
        this);
    router.decide(
        nowNanos + REQUEST_INTERVAL_NANOS / 2,
        events -> {
          events.timerFired("sweep");
          events.attemptEnded(
              new AttemptResult(
                  id,
                  0,
                  chosenEndpoint,
                  AttemptOutcome.SUCCEEDED,
                  RESPONSE_TIME_NANOS,
                  true,
                  detail));
        },
        this);
  }

  private void listEndpoints(RoutingEventHandler events) {
    events.endpointListStarted(EndpointListKind.FULL);
    for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
      events.endpointListed(
          new EndpointDescription(
              endpoint, "m" + endpoint, config.zone(), "m", 0, EndpointState.UP, 1, 0));
    }
    config
        .parentKind()
        .ifPresent(
            kind ->
                events.endpointListed(
                    new EndpointDescription(
                        ENDPOINTS,
                        "m" + ENDPOINTS,
                        config.zone(),
                        kind,
                        0,
                        EndpointState.UP,
                        1,
                        0)));
    events.endpointListCompleted();
  }

  @Override
  public void sendAttempt(AttemptCommand command) {
    chosenEndpoint = command.endpoint();
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {}

  @Override
  public void fail(long requestId) {}

  @Override
  public void cancelAttempt(long requestId, int attemptIndex) {}

  @Override
  public void scheduleTimer(long delayNanos, String handle) {}

  @Override
  public void subscribeEndpoints() {}
}
