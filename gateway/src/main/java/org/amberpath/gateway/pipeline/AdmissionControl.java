package org.amberpath.gateway.pipeline;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.routing.LoadShedder;
import org.amberpath.routing.RequestDeadline;
import org.amberpath.routing.SocketReads;

/**
 * Second stage of the pipeline: admits a decoded request and passes it on to the {@link
 * RoutingStage}, or answers it at once. A request of an unknown traffic class, or under a reference
 * that is already in flight, is rejected as invalid. One under the reference of an earlier request
 * is failed where that one may have had an effect, or its reply may still come. A request above the
 * limit on unanswered requests, on the bytes of their bodies or on those that wait to be routed, or
 * with too little time left for an attempt, is rejected as overload.
 */
final class AdmissionControl {
  private static final Logger LOG = Logger.getLogger(AdmissionControl.class.getName());

  private final JsonRoutingConfig config;
  private final int maxInFlight;
  private final long maxBodyBytes;
  private final InFlightRequests inFlight;
  private final LoadShedder loadShedder;
  private final RoutingStage routingStage;

  /** Records admitted requests; null where the gateway makes no synthetic requests. */
  private SyntheticRequests syntheticRequests;

  /** The latest backlog that an event loop lag has left; null before the first one. */
  private SocketReads.Backlog lastBacklog;

  AdmissionControl(PipelineConfig config, PipelineContext context, RoutingStage routingStage) {
    this.config = config.routing();
    maxInFlight = config.maxInFlight();
    maxBodyBytes = config.maxRequestBodyBytes();
    inFlight = context.inFlight();
    loadShedder = context.loadShedder();
    this.routingStage = routingStage;
  }

  /** Sets the recorder that admitted requests are added to from now on. */
  void setSyntheticRequests(SyntheticRequests synthetic) {
    syntheticRequests = synthetic;
  }

  /**
   * Admits or rejects a request that was just read.
   *
   * @param nowNanos the clock time at which the request was read
   * @param lagNanos how long the request may have waited unread because of event loop lag or of a
   *     pause in accepting connections; 0 for no lag
   */
  void receive(
      ClientConnection client,
      long messageId,
      DecodedRequest decoded,
      long nowNanos,
      long lagNanos) {
    SocketReads.Backlog backlog = findBacklog(client, nowNanos, lagNanos);
    long waitedNanos = backlog == null ? lagNanos : nowNanos - backlog.sinceNanos();
    long deadlineNanos = RequestDeadline.of(nowNanos, waitedNanos, decoded.timeoutNanos());
    int trafficClass = config.trafficClassIndex(decoded.trafficClass());
    if (trafficClass < 0) {
      client.rejectInvalidRequest(messageId, "no delivery service " + decoded.trafficClass());
    } else if (inFlight.containsRequestId(ClientRequest.requestIdOf(decoded))) {
      // Guards against confused responses: an endpoint's reply is matched to its request by this
      // reference alone.
      client.rejectInvalidRequest(messageId, "ref: open already");
    } else if (inFlight.isUsed(ClientRequest.requestIdOf(decoded), nowNanos)) {
      client.sendError(messageId, "ref: used already");
    } else if (inFlight.unansweredCount() >= maxInFlight
        || RequestDeadline.isTooShort(deadlineNanos - nowNanos)) {
      client.sendOverloaded(messageId, 0);
    } else if (inFlight.bodyBytes() + decoded.body().length() > maxBodyBytes
        || !inFlight.mayQueue(client)) {
      client.sendOverloaded(messageId, loadShedder.retryAfterNanos());
    } else {
      ClientRequest request =
          new ClientRequest(
              inFlight.nextId(), client, messageId, decoded, trafficClass, deadlineNanos);
      request.receivedAtNanos = nowNanos;
      request.messageNumber = client.input().messageCount();
      request.backlog = backlog;
      inFlight.add(request);
      routingStage.route(request);
      recordForSyntheticRequests(request);
    }
  }

  /**
   * Returns the backlog of unread bytes that the request belongs to: a new one if the event loop
   * lagged by 25 ms or more, or that of the client's earlier requests while it may continue; null
   * if the request waited for no lag.
   */
  private SocketReads.Backlog findBacklog(ClientConnection client, long nowNanos, long lagNanos) {
    if (SocketReads.mustBeReread(lagNanos)) {
      lastBacklog = new SocketReads.Backlog(nowNanos - lagNanos, nowNanos);
      return lastBacklog;
    }
    return lastBacklog != null && lastBacklog.mayContinue(nowNanos)
        ? inFlight.backlog(client, nowNanos)
        : null;
  }

  /** Records an admitted request as a model; a failure is logged and affects no request. */
  private void recordForSyntheticRequests(ClientRequest request) {
    try {
      if (syntheticRequests != null) {
        syntheticRequests.addRecent(request);
      }
    } catch (RuntimeException e) {
      LOG.log(
          Level.SEVERE,
          "request "
              + request.requestId
              + " could not be recorded for synthetic requests; it is processed as usual",
          e);
    }
  }
}
