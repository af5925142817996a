package org.amberpath.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.routing.SocketReads;

/** Last stage: which GETs are open, until each is answered and its last forward has ended. */
final class InFlightRequests {
  private final Map<Long, ClientRequest> gets = new LinkedHashMap<>();
  private final Map<ClientConnection, Map<Long, ClientRequest>> unanswered = new LinkedHashMap<>();
  private final Set<String> refs = new HashSet<>();
  private long last;
  private int waiting;

  ClientRequest get(long id) {
    return gets.get(id);
  }

  long nextId() {
    return ++last;
  }

  /** Whether a GET under this id is open here: caches know it by no other name. */
  boolean holds(String ref) {
    return refs.contains(ref);
  }

  void open(ClientRequest get) {
    gets.put(get.id, get);
    refs.add(get.ref);
    if (get.own != null) {
      return; // Nobody is owed its answer.
    }
    unanswered.computeIfAbsent(get.client, client -> new LinkedHashMap<>()).put(get.number, get);
    waiting++;
  }

  /** How many owe an answer. */
  int unanswered() {
    return waiting;
  }

  int size() {
    return gets.size();
  }

  ClientRequest unanswered(ClientConnection client, long number) {
    return unanswered.getOrDefault(client, Map.of()).get(number);
  }

  List<ClientRequest> unanswered(ClientConnection client) {
    return new ArrayList<>(unanswered.getOrDefault(client, Map.of()).values());
  }

  /**
   * What waited unread at a client's connection, if that may not have been read to its end; null
   * otherwise.
   */
  SocketReads.Backlog backlog(ClientConnection client, long now) {
    return unanswered.getOrDefault(client, Map.of()).values().stream()
        .filter(one -> one.backlog != null && !one.settled && one.backlog.mayGoOn(now))
        .map(one -> one.backlog)
        .findFirst()
        .orElse(null);
  }

  /** When the last of a client's open requests was taken. */
  long lastTaken(ClientConnection client) {
    return unanswered.getOrDefault(client, Map.of()).values().stream()
        .mapToLong(one -> one.takenAt)
        .max()
        .orElse(Long.MIN_VALUE);
  }

  List<ClientRequest> allUnanswered() {
    return gets.values().stream().filter(get -> !get.answered).toList();
  }

  void answered(ClientRequest get) {
    get.answered = true;
    if (get.own == null) {
      waiting--;
      Map<Long, ClientRequest> ofClient = unanswered.get(get.client);
      ofClient.remove(get.number);
      if (ofClient.isEmpty()) {
        unanswered.remove(get.client);
      }
    }
    close(get);
  }

  /**
   * Guards against decisions on a GET that was forgotten: it stays until they have heard all of it.
   */
  void close(ClientRequest get) {
    if (get.answered && get.out == 0 && get.events == 0) {
      gets.remove(get.id);
      refs.remove(get.ref);
    }
  }
}
