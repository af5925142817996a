package org.amberpath.routing;

/**
 * Divides a gateway's memory among the bytes that it holds for others. The configured limit is of
 * the whole process; of its heap no more than three quarters is promised here, whatever the limit
 * says, since buffers above the heap end the process. Immutable; all values are bytes.
 */
public final class MemoryBudget {
  /** Shares of the configured limit. */
  private static final int PARTIAL_REQUESTS_DIVISOR = 24;

  private static final int REQUEST_BODIES_DIVISOR = 24;
  private static final int PARTIAL_REPLIES_DIVISOR = 12;
  private static final int UNREAD_RESPONSES_DIVISOR = 12;

  /**
   * The configured limit counts up to this multiple of the heap: the shares above, with the reply
   * of the journal that is as long as the unread responses, then add up to three quarters of it.
   */
  private static final int MAX_HEAP_MULTIPLE = 3;

  private final long bytes;

  /**
   * Creates the budget of one process.
   *
   * @param configuredBytes the configured limit of the process
   * @param heapBytes the maximum size of its heap
   */
  public MemoryBudget(long configuredBytes, long heapBytes) {
    bytes = Math.min(configuredBytes, heapBytes * MAX_HEAP_MULTIPLE);
  }

  /** Returns how many bytes all partially received requests together may take. */
  public long partialRequestBytes() {
    return bytes / PARTIAL_REQUESTS_DIVISOR;
  }

  /** Returns how many bytes the bodies of all requests in flight together may take. */
  public long requestBodyBytes() {
    return bytes / REQUEST_BODIES_DIVISOR;
  }

  /** Returns how many bytes all partially received replies of caches together may take. */
  public long partialReplyBytes() {
    return bytes / PARTIAL_REPLIES_DIVISOR;
  }

  /**
   * Returns how many bytes of their responses all clients together may leave unread. It is also the
   * length limit of a journal reply.
   */
  public long unreadResponseBytes() {
    return bytes / UNREAD_RESPONSES_DIVISOR;
  }
}
