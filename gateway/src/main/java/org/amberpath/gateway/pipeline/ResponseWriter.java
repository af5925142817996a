package org.amberpath.gateway.pipeline;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.amberpath.gateway.pipeline.FleetCallbacks.SyntheticOutcome;

/**
 * Fifth stage of the pipeline: writes the final response of each request, exactly once. Each method
 * does nothing for a request that is null (finished) or already answered.
 */
final class ResponseWriter {
  private final Vertx vertx;
  private final InFlightRequests inFlight;

  ResponseWriter(Vertx vertx, InFlightRequests inFlight) {
    this.vertx = vertx;
    this.inFlight = inFlight;
  }

  /**
   * Relays the body of an endpoint's response unchanged.
   *
   * @param body the body; null to respond that the client's own copy is current
   */
  void writeBody(ClientRequest request, Buffer body) {
    if (finish(request)) {
      if (body == null) {
        request.client.sendNotModified(request.messageId);
      } else {
        request.client.sendBody(request.messageId, body);
      }
    }
  }

  /**
   * Rejects a request that had no effect, so that the client may retry it.
   *
   * @param retryAfterNanos the time after which the client should retry; 0 for no advice
   */
  void reject(ClientRequest request, long retryAfterNanos) {
    if (finish(request)) {
      request.client.sendOverloaded(request.messageId, retryAfterNanos);
    }
  }

  /**
   * Fails a request that may have had an effect.
   *
   * @param reason the error text that the client is sent
   */
  void fail(ClientRequest request, String reason) {
    if (finish(request)) {
      request.client.sendError(request.messageId, reason);
    }
  }

  /**
   * Ends a request that its client has cancelled, or whose connection was closed; no response is
   * written.
   */
  void cancel(ClientRequest request) {
    finish(request);
  }

  /**
   * Marks a request as answered; a synthetic request is completed with its outcome.
   *
   * @return whether the caller has to write a response to a client
   */
  private boolean finish(ClientRequest request) {
    if (request == null || request.answered) {
      return false;
    }
    vertx.cancelTimer(request.deadlineTimer);
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
