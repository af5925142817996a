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
 * Third stage of the pipeline: passes the events of one turn of the event loop to the router as one
 * batch. The router's actions are carried out within the call. Discovery events come first in each
 * batch.
 *
 * <p>Batches wait while the gateway's knowledge of drains and purges may be stale, a time that
 * {@link DiscoveryFreshness} bounds. They also wait while the latest read of the clients' sockets
 * is too old, as {@link SocketReads} says.
 */
final class RoutingStage implements RoutingEvents {
  private static final Logger LOG = Logger.getLogger(RoutingStage.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The time after its deadline at which a request that is still unanswered is failed. */
  private static final long DEADLINE_GRACE_MILLIS = 25;

  /**
   * The delay of a timer that fires after the event loop has read its sockets once more, since the
   * loop reads them between two runs of timers.
   */
  private static final long READ_SOCKETS_MILLIS = 1;

  /** The maximum number of request events in a batch: one client's maximum of requests. */
  private static final int MAX_BATCH_EVENTS = 32;

  /** A queued event and the request that it belongs to; the request is null for none. */
  private record QueuedEvent(ClientRequest request, Consumer<RoutingEventHandler> event) {}

  private final PipelineContext context;
  private final DiscoveryFreshness discoveryFreshness;
  private final SocketReads socketReads;
  private final BatchRouter router;
  private final AttemptSender attemptSender;
  private final ResponseWriter responseWriter;
  private final RoutingActionExecutor actions;

  /** Queued discovery events. Bounded by the length of one journal reply. */
  private List<QueuedEvent> discoveryEvents = new ArrayList<>();

  /** Other queued events. Bounded by the requests in flight, their attempts and timers. */
  private List<QueuedEvent> requestEvents = new ArrayList<>();

  /** The batch that is being routed, or was routed last. */
  private List<QueuedEvent> batch = List.of();

  /** The number of events of the batch that the router has been given. */
  private int replayedCount;

  /** Whether events or deferred attempts wait for the next batch. */
  private boolean batchScheduled;

  /** Whether a timer is set that fires after the sockets were read once more. */
  private boolean socketReadScheduled;

  /** Whether attempts wait to be sent before the next batch. */
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

  /** Queues a client's request for routing. */
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
   * Queues the first event of a new request, and starts a timer that fails the request 25 ms after
   * its deadline if it is still unanswered.
   */
  void submit(ClientRequest request, Consumer<RoutingEventHandler> event) {
    long timeLeftNanos = request.deadlineNanos - context.clock().nowNanos();
    request.deadlineTimer =
        context
            .vertx()
            .setTimer(
                Math.max(1, timeLeftNanos / NANOS_PER_MILLI) + DEADLINE_GRACE_MILLIS,
                timer -> {
                  responseWriter.fail(request, "deadline exceeded");
                  enqueueCancelled(request);
                });
    enqueue(request, event);
  }

  /**
   * Queues an event for the next batch.
   *
   * @param request the request that the event belongs to; null for none
   */
  void enqueue(ClientRequest request, Consumer<RoutingEventHandler> event) {
    requestEvents.add(new QueuedEvent(request, event));
    if (request != null) {
      context.inFlight().eventQueued(request);
    }
    scheduleBatch();
  }

  /** Queues the event that no client waits for a request's response any more. */
  void enqueueCancelled(ClientRequest request) {
    enqueue(request, events -> events.clientDisconnected(request.id));
  }

  /**
   * Queues an event about endpoints or purges, ahead of all events of requests. Guards against a
   * routing decision on a request that arrived together with the event but is decided without it.
   */
  void enqueueDiscovery(Consumer<RoutingEventHandler> event) {
    discoveryEvents.add(new QueuedEvent(null, event));
    scheduleBatch();
  }

  /**
   * Returns whether an attempt may be written now. If not, a batch is scheduled, before which the
   * deferred attempts are tried again.
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
   * Returns whether the gateway's knowledge of endpoints, purges and clients is recent enough to
   * make decisions and to send attempts.
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

  /** Called when the journal has replied or failed: a batch that waited for it may run. */
  void discoveryPolled() {
    if (batchScheduled) {
      context.vertx().runOnContext(turn -> runBatch());
    }
  }

  /**
   * Has the event loop read its sockets once more before the next batch, unless the batch waits for
   * a reply of the journal. Guards against decisions by information that was read before the event
   * loop was blocked.
   */
  private void readSocketsFirst() {
    if (!socketReadScheduled && !discoveryFreshness.awaitsResponse()) {
      socketReadScheduled = true;
      long readUntilNanos = context.clock().nowNanos();
      context
          .vertx()
          .setTimer(
              READ_SOCKETS_MILLIS,
              timer -> {
                socketReadScheduled = false;
                discoveryFreshness.socketsRead(readUntilNanos);
                socketReads.socketsRead(readUntilNanos);
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
      // The sockets are read before the remaining events are routed. Guards against attempts for
      // clients that have disconnected meanwhile.
      batchScheduled = true;
      readSocketsFirst();
    }
    routeBatch();
  }

  private void routeBatch() {
    replayedCount = 0;
    try {
      router.routeBatch(context.clock().nowNanos(), this, actions);
    } catch (RuntimeException | StackOverflowError | AssertionError e) {
      LOG.log(
          Level.SEVERE,
          "routing a batch of "
              + batch.size()
              + " events failed after "
              + replayedCount
              + " events; the requests of the others are failed unless an attempt is in flight",
          e);
      while (replayedCount < batch.size()) {
        QueuedEvent queued = batch.get(replayedCount++);
        failRequest(queued.request);
        eventReplayed(queued.request);
      }
    }
  }

  /**
   * Returns whether a request may be routed: it is answered, or the client's connection was read as
   * far as a close behind the request would be known. Guards against an attempt for a client whose
   * close is still unread behind its pipelined requests.
   */
  private boolean isSettled(ClientRequest request) {
    if (request == null || request.isSynthetic() || request.answered || request.settled) {
      return true;
    }
    boolean isReread =
        request.backlog == null
            || socketReads.wasReread(
                request.receivedAtNanos, context.inFlight().lastReceivedAtNanos(request.client));
    request.settled =
        isReread && !socketReads.hasInputBehind(request.client.input(), request.messageNumber);
    return request.settled;
  }

  private void sendDeferredAttempts() {
    if (attemptsDeferred) {
      attemptsDeferred = false;
      try {
        attemptSender.sendDeferred();
      } catch (RuntimeException e) {
        // A failure of the deferred attempts must not keep the next batch from being routed.
        LOG.log(
            Level.SEVERE, "sending deferred attempts failed; the next batch is still routed", e);
      }
    }
  }

  /**
   * Fails a request whose routing has failed, unless one of its attempts is in flight: the end or
   * the timeout of that attempt ends the request too.
   */
  private void failRequest(ClientRequest request) {
    if (request != null && request.pendingAttempts == 0 && !request.answered) {
      responseWriter.fail(request, "internal error");
      enqueueCancelled(request);
    }
  }

  private static String originOf(QueuedEvent queued) {
    return queued.request == null ? "discovery or a timer" : "request " + queued.request.requestId;
  }

  /** Records that an event of a request was passed to the router, or never will be. */
  private void eventReplayed(ClientRequest request) {
    if (request != null) {
      context.inFlight().eventReplayed(request);
    }
  }

  /**
   * Passes the events of the batch to the router. A failure on an event of one request fails that
   * request only.
   */
  @Override
  public void replayTo(RoutingEventHandler events) {
    while (replayedCount < batch.size()) {
      QueuedEvent queued = batch.get(replayedCount++);
      try {
        queued.event.accept(events);
      } catch (RuntimeException | StackOverflowError | AssertionError e) {
        LOG.log(
            Level.SEVERE,
            "routing an event of "
                + originOf(queued)
                + " failed; the other events of the batch are still routed",
            e);
        failRequest(queued.request);
      } finally {
        eventReplayed(queued.request);
      }
    }
  }
}
