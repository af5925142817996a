package org.amberpath.gateway.client;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the bytes of responses that clients have not read yet, for each connection and for all
 * together. Used on one event loop.
 */
public final class WriteBufferAccounting {
  private final long maxBytesPerConnection;
  private final long maxBytesTotal;
  private final Set<ClientConnection> pending = new LinkedHashSet<>();
  private long totalBytes;

  /** Bounds in bytes; a connection past them is aborted. */
  public WriteBufferAccounting(long maxBytesPerConnection, long maxBytesTotal) {
    this.maxBytesPerConnection = maxBytesPerConnection;
    this.maxBytesTotal = maxBytesTotal;
  }

  /**
   * Counts bytes that are about to be written. Guards against clients that do not read: the one
   * with the most unread bytes loses its connection.
   */
  void add(ClientConnection connection, long bytes) {
    totalBytes += bytes;
    connection.unreadBytes += bytes;
    pending.add(connection);
    if (connection.unreadBytes > maxBytesPerConnection) {
      connection.abort("reads too slowly");
    } else if (totalBytes > maxBytesTotal) {
      pending.stream()
          .max(Comparator.comparingLong(one -> one.unreadBytes))
          .orElse(connection)
          .abort("reads most slowly of all");
    }
  }

  /** Counts bytes off that have been written to the socket or dropped. */
  void remove(ClientConnection connection, long bytes) {
    totalBytes -= bytes;
    connection.unreadBytes -= bytes;
    if (connection.unreadBytes == 0) {
      pending.remove(connection);
    }
  }
}
