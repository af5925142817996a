package org.amberpath.gateway.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RoutingEventHandler;
import org.amberpath.routing.RoutingEvents;
import org.amberpath.routing.SocketReads;

/**
 * Third stage: gives the router what one turn of the event loop brought as one batch, whose actions
 * are carried out at once. While endpoints and purges may be known too late to decide by, batches
 * wait, for no longer than {@link DiscoveryFreshness} says. Discovery events come first in each
 * batch.
 */
final class RoutingStage implements RoutingEvents {
  private static final Logger LOG = Logger.getLogger(RoutingStage.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** How long after its deadline a request is answered that nothing else has answered. */
  private static final long BACKSTOP_MILLIS = 25;

  /** How long the loop reads the sockets once more: a timer set now comes after that. */
  private static final long READ_SOCKETS_MILLIS = 1;

  /** Requests' events in one batch at most: as many as one client may have in flight. */
  private static final int MAX_BATCH_EVENTS = 32;

  /** An event, and the request that it belongs to; null where it belongs to none. */
  private record QueuedEvent(ClientRequest request, Consumer<RoutingEventHandler> event) {}

  private final PipelineContext context;
  private final DiscoveryFreshness discoveryFreshness;
  private final SocketReads socketReads;
  private final BatchRouter router;
  private final AttemptSender attemptSender;
  private final ResponseWriter responseWriter;
  private final RoutingActionExecutor actions;

  /** Bounded by the length of one reply of the journal. */
  private List<QueuedEvent> discoveryEvents = new ArrayList<>();

  /** Bounded by the requests in flight, their attempts and timers. */
  private List<QueuedEvent> requestEvents = new ArrayList<>();

  private List<QueuedEvent> batch = List.of();

  /** How many events of the batch the router has been given. */
  private int replayed;

  private boolean batchScheduled;
  private boolean readingSockets;
  private boolean attemptsDeferred;

  RoutingStage(
      PipelineContext context,
      BatchRouter router,
      AttemptSender attemptSender,
      ResponseWriter responseWriter) {
    this.context = context;
    this.discoveryFreshness = context.discoveryFreshness();
    this.socketReads = context.socketReads();
    this.router = router;
    this.attemptSender = attemptSender;
    this.responseWriter = responseWriter;
    actions = new RoutingActionExecutor(context, this, attemptSender, responseWriter);
  }

  /** Sets the one observer of the router's decisions about endpoints. */
  void setObserver(EndpointObserver observer) {
    actions.setObserver(observer);
  }

  /** Routes a client's request. */
  void route(ClientRequest request) {
    submit(
        request,
        events ->
            events.requestReceived(
                new RequestDetails(
                    request.id,
                    request.trafficClass,
                    request.decoded.objectId(),
                    request.decoded.purgeGroup(),
                    request.decoded.partNumber(),
                    request.deadlineNanos - context.clock().nowNanos(),
                    request.decoded.sizeKb(),
                    false)));
  }

  /**
   * Gives a new request to the router by an event, and lets it be answered soon after its deadline
   * at the latest.
   */
  void submit(ClientRequest request, Consumer<RoutingEventHandler> event) {
    long leftNanos = request.deadlineNanos - context.clock().nowNanos();
    request.backstopTimer =
        context
            .vertx()
            .setTimer(
                Math.max(1, leftNanos / NANOS_PER_MILLI) + BACKSTOP_MILLIS,
                timer -> {
                  responseWriter.fail(request, "deadline exceeded");
                  enqueueCancelled(request);
                });
    enqueue(request, event);
  }

  /** Queues an event for this turn's batch; the request is null where it belongs to none. */
  void enqueue(ClientRequest request, Consumer<RoutingEventHandler> event) {
    requestEvents.add(new QueuedEvent(request, event));
    if (request != null) {
      request.pendingEvents++;
    }
    scheduleBatch();
  }

  /** Notifies the router that nobody waits for a request's response any more. */
  void enqueueCancelled(ClientRequest request) {
    enqueue(request, events -> events.clientDisconnected(request.id));
  }

  /**
   * Queues an event about endpoints or purges. It goes ahead of all others: guards requests that
   * came with it against decisions without it.
   */
  void enqueueDiscovery(Consumer<RoutingEventHandler> event) {
    discoveryEvents.add(new QueuedEvent(null, event));
    scheduleBatch();
  }

  /**
   * Whether an attempt may be written now. One that may not is deferred: it is tried again before
   * the next batch.
   */
  boolean mayWrite() {
    boolean fresh = isFresh();
    if (!fresh) {
      attemptsDeferred = true;
      scheduleBatch();
    }
    return fresh;
  }

  /**
   * Whether endpoints, purges and clients are known recently enough to decide and to send by that.
   */
  private boolean isFresh() {
    long nowNanos = context.clock().nowNanos();
    return discoveryFreshness.permitsDecisions(nowNanos) && socketReads.isFresh(nowNanos);
  }

  private void scheduleBatch() {
    if (!batchScheduled) {
      batchScheduled = true;
      context.vertx().runOnContext(turn -> runBatch());
    }
  }

  /** The journal has replied or failed: batches that waited for that may run. */
  void discoveryPolled() {
    if (batchScheduled) {
      context.vertx().runOnContext(turn -> runBatch());
    }
  }

  /**
   * Reads the sockets before the next batch. Guards against decisions by what was read before the
   * event loop stalled.
   */
  private void readSocketsFirst() {
    if (!readingSockets && !discoveryFreshness.awaitsResponse()) {
      readingSockets = true;
      long byNanos = context.clock().nowNanos();
      context
          .vertx()
          .setTimer(
              READ_SOCKETS_MILLIS,
              timer -> {
                readingSockets = false;
                discoveryFreshness.socketsRead(byNanos);
                socketReads.socketsRead(byNanos);
                runBatch();
              });
    }
  }

  private void runBatch() {
    if (!batchScheduled) {
      return;
    }
    List<QueuedEvent> ready = new ArrayList<>();
    List<QueuedEvent> waiting = new ArrayList<>();
    for (QueuedEvent queued : requestEvents) {
      (ready.size() < MAX_BATCH_EVENTS && isSettled(queued.request) ? ready : waiting).add(queued);
    }
    boolean nothingReady =
        ready.isEmpty() && !waiting.isEmpty() && discoveryEvents.isEmpty() && !attemptsDeferred;
    if (!isFresh() || nothingReady) {
      readSocketsFirst();
      return;
    }
    batchScheduled = false;
    requestEvents = waiting;
    sendDeferredAttempts();
    discoveryEvents.addAll(ready);
    batch = discoveryEvents;
    discoveryEvents = new ArrayList<>();
    if (!requestEvents.isEmpty()) {
      // Guards clients that have left meanwhile: the loop reads before more is decided.
      batchScheduled = true;
      readSocketsFirst();
    }
    routeBatch();
  }

  private void routeBatch() {
    replayed = 0;
    try {
      router.routeBatch(context.clock().nowNanos(), this, actions);
    } catch (RuntimeException | StackOverflowError | AssertionError e) {
      LOG.log(Level.SEVERE, "routing a batch of events failed", e);
      while (replayed < batch.size()) {
        QueuedEvent queued = batch.get(replayed++);
        failRequest(queued.request);
        eventReplayed(queued.request);
      }
    }
  }

  /**
   * Whether a request's connection was read again, if the loop lagged before the request was read.
   * Guards against a close behind a pipeline of requests.
   */
  private boolean isSettled(ClientRequest request) {
    if (request != null && request.backlog != null && !request.settled) {
      request.settled =
          request.answered
              || socketReads.isSettled(
                  request.receivedAtNanos, context.inFlight().lastReceivedAtNanos(request.client));
      return request.settled;
    }
    return true;
  }

  private void sendDeferredAttempts() {
    if (attemptsDeferred) {
      attemptsDeferred = false;
      try {
        attemptSender.sendDeferred();
      } catch (RuntimeException e) {
        // Guards what has come meanwhile against a failure of what was deferred.
        LOG.log(Level.SEVERE, "deferred attempts could not be sent", e);
      }
    }
  }

  /**
   * Ends a request whose routing failed, unless an attempt of it is in flight: the end or the
   * timeout of that ends the request too.
   */
  private void failRequest(ClientRequest request) {
    if (request != null && request.pendingAttempts == 0 && !request.answered) {
      responseWriter.fail(request, "internal error");
      enqueueCancelled(request);
    }
  }

  /** The router has been given one more event of a request, or never will be. */
  private void eventReplayed(ClientRequest request) {
    if (request != null) {
      request.pendingEvents--;
      context.inFlight().removeIfFinished(request);
    }
  }

  /** Gives the batch to the router. A failure on one request's event ends that request alone. */
  @Override
  public void replayTo(RoutingEventHandler events) {
    while (replayed < batch.size()) {
      QueuedEvent queued = batch.get(replayed++);
      try {
        queued.event.accept(events);
      } catch (RuntimeException | StackOverflowError | AssertionError e) {
        LOG.log(Level.SEVERE, "routing an event failed", e);
        failRequest(queued.request);
      } finally {
        eventReplayed(queued.request);
      }
    }
  }
}
