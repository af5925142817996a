package org.amberpath.gateway.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.pipeline.FleetCallbacks.SyntheticOutcome;
import org.amberpath.routing.SocketReads;

/**
 * The state of one request in flight, of a client or synthetic: from its admission until it is
 * answered, its last attempt has ended and the router was given all of its events.
 */
final class ClientRequest {
  /** The gateway's internal request number, which is never reused. */
  final long id;

  /** The connection that the request was read from; null for a synthetic request. */
  final ClientConnection client;

  /**
   * The client's message id, unique among the requests in flight on its connection; equal to the id
   * for a synthetic request.
   */
  final long messageId;

  final DecodedRequest decoded;

  /** The reference by which endpoints identify the request. */
  final String requestId;

  /** The index of the request's traffic class in the configuration. */
  final int trafficClass;

  /** The clock time by which the request must have its response. */
  final long deadlineNanos;

  /** All attempts of the request, by their index. */
  final List<OutboundAttempt> attempts = new ArrayList<>(1);

  /** The number of attempts that have not ended. */
  int pendingAttempts;

  /** The number of events of the request that are queued for the router. */
  int pendingEvents;

  /** Whether the final response is written, or the client no longer waits for one. */
  boolean answered;

  /** The clock time at which the request was read; 0 for a synthetic request. */
  long receivedAtNanos;

  /** The number of the client's messages up to this request. */
  long messageNumber;

  /**
   * The unread bytes that the request waited with while the event loop lagged; null if it did not
   * wait.
   */
  SocketReads.Backlog backlog;

  /**
   * Whether the request may be routed: the client's connection was read as far as a close behind
   * the request would be known. See {@link SocketReads}.
   */
  boolean settled;

  /** The timer that fails the request if it is unanswered after its deadline; -1 if not set. */
  long deadlineTimer = -1;

  /** The clock time after which no attempt that is made from now on may be written. */
  long sendByNanos = Long.MAX_VALUE;

  /** Whether an endpoint has responded, with the segment or without holding a copy of it. */
  boolean endpointResponded;

  /** Receives the outcome of a synthetic request; null for a client's request. */
  final Consumer<SyntheticOutcome> completion;

  /** Creates a client's request. */
  ClientRequest(
      long id,
      ClientConnection client,
      long messageId,
      DecodedRequest decoded,
      int trafficClass,
      long deadlineNanos) {
    this.id = id;
    this.client = client;
    this.messageId = messageId;
    this.decoded = decoded;
    this.requestId = requestIdOf(decoded);
    this.trafficClass = trafficClass;
    this.deadlineNanos = deadlineNanos;
    this.completion = null;
  }

  /**
   * Creates a synthetic request.
   *
   * @param completion is called once with the outcome
   */
  ClientRequest(
      long id,
      DecodedRequest decoded,
      int trafficClass,
      long deadlineNanos,
      Consumer<SyntheticOutcome> completion) {
    this.id = id;
    this.client = null;
    this.messageId = id;
    this.decoded = decoded;
    this.requestId = requestIdOf(decoded);
    this.trafficClass = trafficClass;
    this.deadlineNanos = deadlineNanos;
    this.completion = completion;
  }

  /** Returns the reference by which endpoints identify a request. */
  static String requestIdOf(DecodedRequest decoded) {
    return decoded.requestId().toString();
  }

  /** Returns whether the gateway made this request itself, so that no client waits for it. */
  boolean isSynthetic() {
    return completion != null;
  }
}
