package org.amberpath.gateway.pipeline;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.amberpath.gateway.pipeline.FleetCallbacks.SyntheticOutcome;

/**
 * Fifth stage: writes the one final response of each request. Each method does nothing for a
 * request that is null or already answered.
 */
final class ResponseWriter {
  private final Vertx vertx;
  private final InFlightRequests inFlight;

  ResponseWriter(Vertx vertx, InFlightRequests inFlight) {
    this.vertx = vertx;
    this.inFlight = inFlight;
  }

  /** Relays an endpoint's bytes unchanged; a null body says that the client's copy is current. */
  void writeBody(ClientRequest request, Buffer body) {
    if (finish(request)) {
      if (body == null) {
        request.client.sendNotModified(request.messageId);
      } else {
        request.client.sendBody(request.messageId, body);
      }
    }
  }

  /** Rejects a request that had no effect; the client may retry after so many nanoseconds. */
  void reject(ClientRequest request, long retryAfterNanos) {
    if (finish(request)) {
      request.client.sendOverloaded(request.messageId, retryAfterNanos);
    }
  }

  /** Fails a request, which may have had an effect. */
  void fail(ClientRequest request, String reason) {
    if (finish(request)) {
      request.client.sendError(request.messageId, reason);
    }
  }

  /** The client has cancelled the request or closed its connection: no response is written. */
  void cancelled(ClientRequest request) {
    finish(request);
  }

  /** Marks a request answered; returns whether a response is to be written to a client. */
  private boolean finish(ClientRequest request) {
    if (request == null || request.answered) {
      return false;
    }
    vertx.cancelTimer(request.backstopTimer);
    inFlight.markAnswered(request);
    if (request.isSynthetic()) {
      request.completion.accept(syntheticOutcome(request));
    }
    return !request.isSynthetic();
  }

  private static SyntheticOutcome syntheticOutcome(ClientRequest request) {
    if (request.endpointResponded) {
      return SyntheticOutcome.ANSWERED;
    }
    return request.attempts.isEmpty() ? SyntheticOutcome.NOT_SENT : SyntheticOutcome.SILENT;
  }
}
