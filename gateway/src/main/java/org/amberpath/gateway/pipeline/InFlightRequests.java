package org.amberpath.gateway.pipeline;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.routing.SocketReads;

/**
 * All requests in flight: each from its admission until it is answered, its last attempt has ended
 * and the router was given all of its events. Bounded by {@link AdmissionControl} and by {@link
 * SyntheticRequests}.
 */
public final class InFlightRequests {
  private final Map<Long, ClientRequest> byId = new LinkedHashMap<>();
  private final Map<ClientConnection, Map<Long, ClientRequest>> unanswered = new LinkedHashMap<>();
  private final Set<String> requestIds = new HashSet<>();
  private long lastId;
  private int unansweredCount;

  /** The request of this id; null if it is finished. */
  ClientRequest find(long id) {
    return byId.get(id);
  }

  /** A new request id. */
  long nextId() {
    return ++lastId;
  }

  /** Whether a request under this reference is in flight: endpoints know it by no other name. */
  boolean containsRequestId(String reference) {
    return requestIds.contains(reference);
  }

  /** Adds a request. */
  void add(ClientRequest request) {
    byId.put(request.id, request);
    requestIds.add(request.requestId);
    if (request.isSynthetic()) {
      return; // No client waits for its response.
    }
    unanswered
        .computeIfAbsent(request.client, client -> new LinkedHashMap<>())
        .put(request.messageId, request);
    unansweredCount++;
  }

  /** How many clients' requests have no response yet. */
  int unansweredCount() {
    return unansweredCount;
  }

  /** How many requests are in flight, answered ones whose attempts have not ended included. */
  int size() {
    return byId.size();
  }

  /** A client's request without a response; null if there is none of this message id. */
  ClientRequest findUnanswered(ClientConnection client, long messageId) {
    return of(client).get(messageId);
  }

  /** A client's requests without a response, oldest first; a copy. */
  List<ClientRequest> unansweredOf(ClientConnection client) {
    return new ArrayList<>(of(client).values());
  }

  private Map<Long, ClientRequest> of(ClientConnection client) {
    return unanswered.getOrDefault(client, Map.of());
  }

  /**
   * What waited unread at a client's connection, if that may not have been read to its end; null
   * otherwise.
   */
  SocketReads.Backlog backlog(ClientConnection client, long nowNanos) {
    return of(client).values().stream()
        .filter(
            request ->
                request.backlog != null
                    && !request.settled
                    && request.backlog.mayContinue(nowNanos))
        .map(request -> request.backlog)
        .findFirst()
        .orElse(null);
  }

  /**
   * When the last of a client's requests without a response was read; {@link Long#MIN_VALUE} if
   * there is none.
   */
  long lastReceivedAtNanos(ClientConnection client) {
    return of(client).values().stream()
        .mapToLong(request -> request.receivedAtNanos)
        .max()
        .orElse(Long.MIN_VALUE);
  }

  /** All requests without a response, synthetic ones included, oldest first. */
  List<ClientRequest> allUnanswered() {
    return byId.values().stream().filter(request -> !request.answered).toList();
  }

  /** Records that a request has its final response, or that its client no longer waits for one. */
  void markAnswered(ClientRequest request) {
    request.answered = true;
    if (!request.isSynthetic()) {
      unansweredCount--;
      Map<Long, ClientRequest> ofClient = unanswered.get(request.client);
      ofClient.remove(request.messageId);
      if (ofClient.isEmpty()) {
        unanswered.remove(request.client);
      }
    }
    removeIfFinished(request);
  }

  /**
   * Removes a request once it is finished. Guards against routing decisions on a request that is
   * gone: it stays until the router was given all of its events.
   */
  void removeIfFinished(ClientRequest request) {
    if (request.answered && request.pendingAttempts == 0 && request.pendingEvents == 0) {
      byId.remove(request.id);
      requestIds.remove(request.requestId);
    }
  }
}
