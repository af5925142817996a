package org.amberpath.gateway;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.amberpath.gateway.client.ClientConnection;

/**
 * The clients' connections: bounded in number, and in the time for a whole message that is owed.
 */
final class ClientConnections {
  /** Clients that break the protocol are owed a close within 3 s; this and one sweep stay below. */
  private static final long MESSAGE_NS = 2_000_000_000L;

  private static final long READ_MS = 2;

  /**
   * Connections held beside the bound: those about to go, and those whose clients read their last
   * answers.
   */
  static final int SPARE = 8;

  private final Vertx vertx;
  private final int most;
  private final Clock clock;
  private final Set<ClientConnection> all = new LinkedHashSet<>();

  /** Those that go as soon as all is read that had come by now. */
  private final Set<ClientConnection> leaving = new LinkedHashSet<>();

  /** Those that take nothing more and still hold a descriptor, the oldest first. */
  private final Set<ClientConnection> ending = new LinkedHashSet<>();

  private boolean rejects, over;

  ClientConnections(Vertx vertx, int most, Clock clock) {
    this.vertx = vertx;
    this.most = most;
    this.clock = clock;
  }

  /**
   * Guards the descriptors: past their bound the connection of least use goes, not the newest good
   * one. At every instant no more are held than the bound and SPARE, beside the one that has just
   * come.
   */
  void add(ClientConnection fresh) {
    all.add(fresh);
    if (rejects) {
      fresh.rejectNewRequests();
    }
    if (over) {
      fresh.closeAfterFlush();
      if (size() > most + SPARE) {
        fresh.close(); // It is owed nothing: nothing of it was read.
      }
      return;
    }
    if (all.size() - leaving.size() > most) {
      leave(leastUseful(fresh));
    }
    while (size() > most + SPARE) {
      if (!ending.isEmpty()) {
        ending.iterator().next().close();
      } else if (!leaving.isEmpty()) {
        evict(leaving.iterator().next());
      } else {
        fresh.close();
      }
    }
  }

  /** The one that goes for another, which goes itself where all others have something open. */
  private ClientConnection leastUseful(ClientConnection fresh) {
    ClientConnection least = null;
    for (ClientConnection one : all) {
      // Guards GETs that are open: half a message after them makes a connection none of the least
      // use.
      if (one != fresh
          && !leaving.contains(one)
          && one.isIdle()
          && (least == null
              || one.activity().compareTo(least.activity()) < 0
              || one.activity() == least.activity()
                  && one.lastActivityNanos() < least.lastActivityNanos())) {
        least = one;
      }
    }
    return least == null ? fresh : least;
  }

  /**
   * Guards requests that crossed this: a connection goes only once the loop has read and still
   * finds nothing open.
   */
  private void leave(ClientConnection one) {
    if (one.isAwaitingMessage()) {
      one.closeOrFlush();
      return;
    }
    leaving.add(one);
    vertx.setTimer(
        READ_MS,
        read -> {
          if (leaving.contains(one)) {
            evict(one);
          }
        });
  }

  private void evict(ClientConnection one) {
    leaving.remove(one);
    if (one.isIdle()) {
      one.closeOrFlush();
    }
  }

  void remove(ClientConnection one) {
    leaving.remove(one);
    if (all.remove(one)) {
      ending.add(one);
    }
  }

  void released(ClientConnection one) {
    ending.remove(one);
  }

  /** From now on each request is rejected, on whatever connects too: the gateway stops. */
  void reject() {
    if (!rejects) {
      rejects = true;
      all.forEach(ClientConnection::rejectNewRequests);
    }
  }

  /** Ends all, and whatever connects from now on: once nothing is owed on any. */
  void end() {
    over = true;
    List.copyOf(all).forEach(ClientConnection::closeAfterFlush);
  }

  /** Whether all were ended. */
  boolean ended() {
    return over;
  }

  /** Whether no answer waits to be written to a connection that was ended. */
  boolean allWritten() {
    return ending.stream().allMatch(ClientConnection::isFlushed);
  }

  /** Whether a client has begun a message that has not come whole. */
  boolean midway() {
    return all.stream().anyMatch(ClientConnection::hasPartialMessage);
  }

  int size() {
    return all.size() + ending.size();
  }

  /** Guards against clients that say nothing, or half a message. */
  void sweep() {
    long now = clock.now();
    for (ClientConnection one : List.copyOf(all)) {
      if (one.isAwaitingMessage() && now - one.lastActivityNanos() > MESSAGE_NS) {
        one.onProtocolError("no whole message in time");
      }
    }
  }
}
