package org.amberpath.gateway.pipeline;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.routing.RequestDeadline;
import org.amberpath.routing.SocketReads;

/**
 * Second stage: answers requests that the router cannot decide on, or that exceed the bound on
 * requests in flight, and admits the others.
 */
final class AdmissionControl {
  private static final Logger LOG = Logger.getLogger(AdmissionControl.class.getName());

  private final JsonRoutingConfig config;
  private final int maxInFlight;
  private final InFlightRequests inFlight;
  private final RoutingStage routingStage;

  /** Learns from admitted requests; null where the gateway makes no synthetic ones. */
  private SyntheticRequests syntheticRequests;

  private SocketReads.Backlog lastBacklog;

  AdmissionControl(
      JsonRoutingConfig config,
      int maxInFlight,
      InFlightRequests inFlight,
      RoutingStage routingStage) {
    this.config = config;
    this.maxInFlight = maxInFlight;
    this.inFlight = inFlight;
    this.routingStage = routingStage;
  }

  /** From now on admitted requests are shown to these. */
  void setSyntheticRequests(SyntheticRequests synthetic) {
    syntheticRequests = synthetic;
  }

  /**
   * Admits, rejects or fails a request that was read now. A failure on it affects no other request.
   *
   * @param lagNanos the event loop's lag for this client
   */
  void receive(
      ClientConnection client,
      long messageId,
      DecodedRequest decoded,
      long nowNanos,
      long lagNanos) {
    SocketReads.Backlog backlog = backlog(client, nowNanos, lagNanos);
    long waitedNanos = backlog == null ? lagNanos : nowNanos - backlog.sinceNanos();
    long deadlineNanos = RequestDeadline.of(nowNanos, waitedNanos, decoded.timeoutNanos());
    int trafficClass = config.trafficClassIndex(decoded.trafficClass());
    if (trafficClass < 0) {
      client.rejectInvalidRequest(messageId, "no delivery service " + decoded.trafficClass());
    } else if (inFlight.containsRequestId(ClientRequest.requestIdOf(decoded))) {
      // Guards against a response to one request that is taken for another's.
      client.rejectInvalidRequest(messageId, "ref: open already");
    } else if (inFlight.unansweredCount() >= maxInFlight
        || RequestDeadline.isTooShort(deadlineNanos - nowNanos)) {
      client.sendOverloaded(messageId, 0);
    } else {
      ClientRequest request =
          new ClientRequest(
              inFlight.nextId(), client, messageId, decoded, trafficClass, deadlineNanos);
      request.receivedAtNanos = nowNanos;
      request.backlog = backlog;
      inFlight.add(request);
      routingStage.route(request);
      recordForSyntheticRequests(request);
    }
  }

  /**
   * What a request waited with, unread, if the loop lagged just now or the rest of that is still
   * being read; null otherwise.
   */
  private SocketReads.Backlog backlog(ClientConnection client, long nowNanos, long lagNanos) {
    if (SocketReads.mustSettle(lagNanos)) {
      lastBacklog = new SocketReads.Backlog(nowNanos - lagNanos, nowNanos);
      return lastBacklog;
    }
    return lastBacklog != null && lastBacklog.mayContinue(nowNanos)
        ? inFlight.backlog(client, nowNanos)
        : null;
  }

  private void recordForSyntheticRequests(ClientRequest request) {
    try {
      if (syntheticRequests != null) {
        syntheticRequests.addRecent(request);
      }
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "a request was not recorded for synthetic requests", e);
    }
  }
}
