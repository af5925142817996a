package org.amberpath.gateway.client;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory of responses that are not yet written to sockets because clients read slowly or
 * not at all, per connection and for all connections together. Confined to one event loop.
 */
public final class WriteBufferAccounting {
  private final long maxBytesPerConnection;
  private final long maxBytesTotal;
  private final Set<ClientConnection> pendingConnections = new LinkedHashSet<>();
  private long totalBytes;

  /** Creates the accounting with its bounds in bytes; a connection that exceeds one is aborted. */
  public WriteBufferAccounting(long maxBytesPerConnection, long maxBytesTotal) {
    this.maxBytesPerConnection = maxBytesPerConnection;
    this.maxBytesTotal = maxBytesTotal;
  }

  /**
   * Adds bytes that are about to be written. Aborts the connection if it exceeds its own bound, or
   * the connection with the most unwritten bytes if the total exceeds its bound.
   */
  void add(ClientConnection connection, long bytes) {
    totalBytes += bytes;
    connection.unwrittenBytes += bytes;
    pendingConnections.add(connection);
    if (connection.unwrittenBytes > maxBytesPerConnection) {
      connection.abort(
          "reads too slowly: "
              + connection.unwrittenBytes
              + " response bytes unwritten, allowed "
              + maxBytesPerConnection);
    } else if (totalBytes > maxBytesTotal) {
      ClientConnection slowest =
          pendingConnections.stream()
              .max(Comparator.comparingLong(one -> one.unwrittenBytes))
              .orElse(connection);
      slowest.abort(
          "reads most slowly of all clients: "
              + slowest.unwrittenBytes
              + " response bytes unwritten, of all clients "
              + totalBytes
              + ", allowed "
              + maxBytesTotal);
    }
  }

  /** Subtracts bytes that have been written to the socket or dropped. */
  void remove(ClientConnection connection, long bytes) {
    totalBytes -= bytes;
    connection.unwrittenBytes -= bytes;
    if (connection.unwrittenBytes == 0) {
      pendingConnections.remove(connection);
    }
  }
}
