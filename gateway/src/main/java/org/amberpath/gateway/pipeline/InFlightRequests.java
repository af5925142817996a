package org.amberpath.gateway.pipeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.routing.RoutingQueueLimit;
import org.amberpath.routing.SocketReads;
import org.amberpath.routing.UsedRequestIds;

/**
 * All requests in flight. A request is held from its admission until it is answered, its last
 * attempt has ended and the router was given all of its events. {@link AdmissionControl} and {@link
 * SyntheticRequests} limit their number.
 */
public final class InFlightRequests {
  private final Map<Long, ClientRequest> byId = new LinkedHashMap<>();
  private final Map<ClientConnection, Map<Long, ClientRequest>> unanswered = new LinkedHashMap<>();
  private final Set<String> requestIds = new HashSet<>();

  /** The number of requests of each client with queued events; bounded by the connections. */
  private final Map<ClientConnection, Integer> waitingOfClient = new HashMap<>();

  private int waitingCount;
  private final UsedRequestIds usedIds = new UsedRequestIds();
  private long lastId;
  private int unansweredCount;
  private long bodyBytes;

  /** Returns the request with this id; null if it is finished. */
  ClientRequest find(long id) {
    return byId.get(id);
  }

  /** Returns a new request id. */
  long nextId() {
    return ++lastId;
  }

  /**
   * Returns whether a request with this reference is in flight; endpoints identify requests by it
   * alone.
   */
  boolean containsRequestId(String requestId) {
    return requestIds.contains(requestId);
  }

  /** Records that no further request may be sent under the reference of this one. */
  void markUsed(ClientRequest request, long nowNanos) {
    usedIds.add(request.requestId, nowNanos);
  }

  /** Returns whether no further request may be sent under this reference. */
  boolean isUsed(String requestId, long nowNanos) {
    return usedIds.contains(requestId, nowNanos);
  }

  /** Adds a request. */
  void add(ClientRequest request) {
    byId.put(request.id, request);
    bodyBytes += request.decoded.body().length();
    requestIds.add(request.requestId);
    if (request.isSynthetic()) {
      return; // No client waits for its response.
    }
    unanswered
        .computeIfAbsent(request.client, client -> new LinkedHashMap<>())
        .put(request.messageId, request);
    unansweredCount++;
  }

  /** Returns the number of clients' requests without a response. */
  int unansweredCount() {
    return unansweredCount;
  }

  /** Returns whether another request of a client may wait to be routed. */
  boolean mayQueue(ClientConnection client) {
    return RoutingQueueLimit.permits(waitingOfClient.getOrDefault(client, 0), waitingCount);
  }

  /** Records that an event of a request was queued for the router. */
  void eventQueued(ClientRequest request) {
    if (request.pendingEvents++ == 0 && !request.isSynthetic()) {
      waitingCount++;
      waitingOfClient.merge(request.client, 1, Integer::sum);
    }
  }

  /** Records that an event of a request was passed to the router, or never will be. */
  void eventReplayed(ClientRequest request) {
    if (--request.pendingEvents == 0 && !request.isSynthetic()) {
      waitingCount--;
      waitingOfClient.computeIfPresent(
          request.client, (client, count) -> count == 1 ? null : count - 1);
    }
    removeIfFinished(request);
  }

  /** Returns the length of the bodies of all requests in flight together. */
  long bodyBytes() {
    return bodyBytes;
  }

  /**
   * Returns the number of requests in flight, including answered ones whose attempts have not
   * ended.
   */
  int size() {
    return byId.size();
  }

  /** Returns the unanswered request of a client with this message id; null if there is none. */
  ClientRequest findUnanswered(ClientConnection client, long messageId) {
    return unansweredById(client).get(messageId);
  }

  /** Returns a copy of the list of a client's unanswered requests, oldest first. */
  List<ClientRequest> unansweredOf(ClientConnection client) {
    return new ArrayList<>(unansweredById(client).values());
  }

  private Map<Long, ClientRequest> unansweredById(ClientConnection client) {
    return unanswered.getOrDefault(client, Map.of());
  }

  /**
   * Returns the backlog of a client's connection, if bytes that are read now may belong to it; null
   * otherwise.
   */
  SocketReads.Backlog backlog(ClientConnection client, long nowNanos) {
    return unansweredById(client).values().stream()
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
   * Returns the clock time at which the latest unanswered request of a client was read; {@link
   * Long#MIN_VALUE} if there is none.
   */
  long lastReceivedAtNanos(ClientConnection client) {
    return unansweredById(client).values().stream()
        .mapToLong(request -> request.receivedAtNanos)
        .max()
        .orElse(Long.MIN_VALUE);
  }

  /** Returns all unanswered requests, including synthetic ones, oldest first. */
  List<ClientRequest> allUnanswered() {
    return byId.values().stream().filter(request -> !request.answered).toList();
  }

  /** Records that a request has its final response, or that its client no longer waits for one. */
  void markAnswered(ClientRequest request) {
    request.answered = true;
    if (!request.isSynthetic()) {
      unansweredCount--;
      Map<Long, ClientRequest> clientRequests = unanswered.get(request.client);
      clientRequests.remove(request.messageId);
      if (clientRequests.isEmpty()) {
        unanswered.remove(request.client);
      }
    }
    removeIfFinished(request);
  }

  /**
   * Removes a request if it is finished: answered, with no attempt in flight and no queued event.
   * Waiting for the queued events guards against routing decisions about a request that is no
   * longer held.
   */
  void removeIfFinished(ClientRequest request) {
    if (request.answered && request.pendingAttempts == 0 && request.pendingEvents == 0) {
      if (byId.remove(request.id) != null) {
        bodyBytes -= request.decoded.body().length();
      }
      requestIds.remove(request.requestId);
    }
  }
}
