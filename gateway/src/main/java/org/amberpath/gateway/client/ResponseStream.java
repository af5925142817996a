package org.amberpath.gateway.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.amberpath.routing.ResponseBufferLimit;

/**
 * Writes the responses of one connection to its socket and counts those that are not yet written.
 * Responses to the requests of one read are joined and written together: a write takes some hundred
 * bytes of heap and a system call, a response to a small request has some ten bytes. Confined to
 * the event loop of the socket.
 */
final class ResponseStream {
  /**
   * How long the socket stays open for reading by the client after the last response is written.
   */
  static final long LINGER_MILLIS = 300;

  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS);

  private final ClientConnection connection;
  private final NetSocket socket;
  private final WriteBufferAccounting accounting;
  private final LongSupplier clock;

  /** The joined responses to the requests of the current read; null for none. */
  private Buffer joined;

  private int joinedCount;
  private boolean joining;
  private boolean stopped;
  private boolean responseSent;
  private long lastWriteNanos;
  private int unwrittenCount;

  /** Bytes of memory that unwritten responses take; maintained by {@link WriteBufferAccounting}. */
  long unwrittenBytes;

  /**
   * Creates the stream of a connection without responses.
   *
   * @param connection is told when responses were written, and aborted where the memory for
   *     unwritten responses is exceeded
   * @param clock monotonic time in nanoseconds
   */
  ResponseStream(
      ClientConnection connection,
      NetSocket socket,
      WriteBufferAccounting accounting,
      LongSupplier clock) {
    this.connection = connection;
    this.socket = socket;
    this.accounting = accounting;
    this.clock = clock;
  }

  /** Starts to join responses, until {@link #writeJoined}. */
  void startJoining() {
    joining = true;
  }

  /** Writes the responses that were joined. */
  void writeJoined() {
    joining = false;
    if (joined != null) {
      Buffer responses = joined;
      joined = null;
      write(responses, joinedCount);
    }
  }

  /** Sends a response; does nothing after {@link #stop}. */
  void send(Buffer response) {
    if (stopped) {
      return;
    }
    unwrittenCount++;
    accounting.add(this, response.length());
    if (stopped) { // The accounting has aborted this connection.
      written(1, response.length());
    } else if (joining) {
      join(response);
    } else {
      write(response, 1);
    }
  }

  private void join(Buffer response) {
    if (joined == null) {
      joined = Buffer.buffer();
      joinedCount = 0;
    }
    joined.appendBuffer(response);
    joinedCount++;
  }

  private void write(Buffer responses, int count) {
    long bytes = responses.length() + ResponseBufferLimit.WRITE_OVERHEAD_BYTES;
    // Before the write, which may complete synchronously.
    accounting.add(this, ResponseBufferLimit.WRITE_OVERHEAD_BYTES);
    if (stopped) {
      written(count, bytes);
    } else {
      responseSent = true;
      socket
          .write(responses)
          .onComplete(
              done -> {
                written(count, bytes);
                lastWriteNanos = clock.getAsLong();
                connection.responsesWritten();
              });
    }
  }

  private void written(int count, long bytes) {
    unwrittenCount -= count;
    accounting.remove(this, bytes);
  }

  /** Sends nothing any more and drops responses that were joined and not written. */
  void stop() {
    stopped = true;
    if (joined != null) {
      long bytes = joined.length();
      joined = null;
      written(joinedCount, bytes);
    }
  }

  /** Closes the connection to free the memory of the responses that its client does not read. */
  void abort(String reason) {
    connection.abort(reason);
  }

  /** Returns the number of responses that are not yet written to the socket. */
  int unwrittenCount() {
    return unwrittenCount;
  }

  /** Returns whether all responses have been written to the socket. */
  boolean isFlushed() {
    return unwrittenBytes == 0;
  }

  /**
   * Returns whether the client has had {@link #LINGER_MILLIS} to read its last response, or has
   * been sent none, so that an immediate close loses no response.
   */
  boolean hasLingered() {
    return isFlushed() && (!responseSent || clock.getAsLong() - lastWriteNanos > LINGER_NANOS);
  }
}
