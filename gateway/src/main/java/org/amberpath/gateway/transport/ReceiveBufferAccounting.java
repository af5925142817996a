package org.amberpath.gateway.transport;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory of messages that have been received in part, over all connections of one kind
 * together. Above the bound, the buffers that have received nothing for longest are released.
 * Confined to one event loop.
 */
public final class ReceiveBufferAccounting {
  /** Holds the part of a message that has been received. Compared by identity. */
  public interface Holder {
    /** Releases the buffer. The bytes are no longer counted when this is called. */
    void releaseBuffer();
  }

  private final long maxTotalBytes;

  /** The counted bytes of each holder, the one that has received nothing for longest first. */
  private final Map<Holder, Long> bytesByHolder = new LinkedHashMap<>();

  private long totalBytes;

  /** Creates the accounting with its bound in bytes. */
  public ReceiveBufferAccounting(long maxTotalBytes) {
    this.maxTotalBytes = maxTotalBytes;
  }

  /**
   * Records how many bytes a holder keeps after it has received some. Other holders are released
   * while all together exceed the bound.
   *
   * @param heldBytes the bytes that it keeps; 0 if it keeps none, or so few that they need no bound
   */
  public void update(Holder holder, long heldBytes) {
    remove(holder);
    if (heldBytes == 0) {
      return;
    }
    bytesByHolder.put(holder, heldBytes);
    totalBytes += heldBytes;
    while (totalBytes > maxTotalBytes && bytesByHolder.size() > 1) {
      Holder longestWithoutProgress = bytesByHolder.keySet().iterator().next();
      remove(longestWithoutProgress);
      longestWithoutProgress.releaseBuffer();
    }
  }

  /** Forgets a holder that keeps nothing any more. */
  public void remove(Holder holder) {
    Long heldBytes = bytesByHolder.remove(holder);
    if (heldBytes != null) {
      totalBytes -= heldBytes;
    }
  }
}
