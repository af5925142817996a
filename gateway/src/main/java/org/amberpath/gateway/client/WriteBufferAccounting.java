package org.amberpath.gateway.client;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/** What clients have not yet read of their answers: bounded for each, and for all together. */
public final class WriteBufferAccounting {
  private final long mostOfOne, mostOfAll;
  private final Set<ClientConnection> behind = new LinkedHashSet<>();
  private long all;

  public WriteBufferAccounting(long mostOfOne, long mostOfAll) {
    this.mostOfOne = mostOfOne;
    this.mostOfAll = mostOfAll;
  }

  /** Guards against clients that do not read: the one furthest behind loses its connection. */
  void add(ClientConnection client, long bytes) {
    all += bytes;
    client.unread += bytes;
    behind.add(client);
    if (client.unread > mostOfOne) {
      client.abandon("reads too slowly");
    } else if (all > mostOfAll) {
      behind.stream()
          .max(Comparator.comparingLong(one -> one.unread))
          .orElse(client)
          .abandon("reads most slowly of all");
    }
  }

  void read(ClientConnection client, long bytes) {
    all -= bytes;
    client.unread -= bytes;
    if (client.unread == 0) {
      behind.remove(client);
    }
  }
}
