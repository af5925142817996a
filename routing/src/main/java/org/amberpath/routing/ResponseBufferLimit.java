package org.amberpath.routing;

/**
 * Decides how much of the memory for unwritten responses one client may take. The limit is dynamic:
 * a client may hold at most as much as is still free, so that one client alone can use half of the
 * memory, and any number of clients that do not read leave a part of it to the others.
 */
public final class ResponseBufferLimit {
  /** Heap that one pending write takes beside its bytes: its buffer, promise and queue entry. */
  public static final long WRITE_OVERHEAD_BYTES = 512;

  /**
   * Unwritten responses of one client above which nothing more is read from it: twice the requests
   * that it may have in flight. A client that keeps to that bound never reaches this one.
   */
  private static final int MAX_UNWRITTEN_RESPONSES = 64;

  /** Unwritten responses of one client at which it is read from again. */
  private static final int RESUME_UNWRITTEN_RESPONSES = 32;

  /** A client that has read nothing for this time is disconnected when its memory is needed. */
  private static final long STALL_TIMEOUT_NANOS = 1_000_000_000L;

  private final long maxTotalBytes;

  /** Creates the limit from the bound on the unwritten bytes of all clients together. */
  public ResponseBufferLimit(long maxTotalBytes) {
    this.maxTotalBytes = maxTotalBytes;
  }

  /**
   * Returns whether the body of a response may be kept until its client reads it.
   *
   * @param clientBytes the unwritten bytes of the client
   * @param totalBytes the unwritten bytes of all clients
   * @param bodyBytes the length of the body
   */
  public boolean permitsBody(long clientBytes, long totalBytes, long bodyBytes) {
    return clientBytes + bodyBytes <= maxTotalBytes - totalBytes;
  }

  /**
   * Returns whether further requests may be read from a client. Guards against a client that sends
   * requests and reads no response: the connection pushes back on it, and what it has not been
   * answered yet stays in the kernel's buffers.
   *
   * @param unwrittenResponses the number of responses that the client leaves unread
   * @param reading whether the client is being read from
   */
  public static boolean permitsReading(int unwrittenResponses, boolean reading) {
    return unwrittenResponses <= (reading ? MAX_UNWRITTEN_RESPONSES : RESUME_UNWRITTEN_RESPONSES);
  }

  /** Returns whether all clients together exceed the bound, so that one has to be disconnected. */
  public boolean isExceeded(long totalBytes) {
    return totalBytes > maxTotalBytes;
  }

  /**
   * Returns whether a client may be disconnected to free the memory that another response needs.
   *
   * @param withoutProgressNanos the time since the client last read something
   */
  public boolean isStalled(long withoutProgressNanos) {
    return withoutProgressNanos >= STALL_TIMEOUT_NANOS;
  }
}
