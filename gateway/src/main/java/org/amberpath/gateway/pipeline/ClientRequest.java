package org.amberpath.gateway.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.pipeline.FleetCallbacks.SyntheticOutcome;
import org.amberpath.routing.SocketReads;

/**
 * The state of one request, from its last byte to its final response and the end of its last
 * attempt.
 */
final class ClientRequest {
  /** The gateway's own number for it, never reused. */
  final long id;

  /** Null for a synthetic request. */
  final ClientConnection client;

  /** The client's number for it, unique among those open on its connection. */
  final long messageId;

  final DecodedRequest decoded;

  /** The id under which endpoints know it. */
  final String requestId;

  /** The index of its traffic class. */
  final int trafficClass;

  /** The clock time by which it has its response. */
  final long deadlineNanos;

  /** All attempts that were made for it, by their index. */
  final List<OutboundAttempt> attempts = new ArrayList<>(1);

  /** Attempts that have not ended. */
  int pendingAttempts;

  /** Events that the router has not been given yet. */
  int pendingEvents;

  /** Whether its final response is written, or its client no longer waits for one. */
  boolean answered;

  /** The clock time at which it was read. */
  long receivedAtNanos;

  /** What it waited with, unread, behind an event loop that lagged; null if it did not. */
  SocketReads.Backlog backlog;

  /** Whether its connection was read again after that backlog; see {@link SocketReads}. */
  boolean settled;

  /** The timer that answers it if nothing else has by its deadline; -1 before there is one. */
  long backstopTimer = -1;

  /** The clock time after which no attempt may begin. */
  long sendByNanos = Long.MAX_VALUE;

  /** Whether an endpoint has responded, be it that it does not hold the segment. */
  boolean endpointResponded;

  /** Is called with the outcome of a synthetic request; null for a client's. */
  final Consumer<SyntheticOutcome> completion;

  /** A client's request. */
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

  /** A synthetic request, whose outcome goes to {@code completion}. */
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

  /** The id under which endpoints know a request: they know it by no other. */
  static String requestIdOf(DecodedRequest decoded) {
    return decoded.requestId().toString();
  }

  /** Whether this gateway made it itself, so that no client waits for a response. */
  boolean isSynthetic() {
    return completion != null;
  }
}
