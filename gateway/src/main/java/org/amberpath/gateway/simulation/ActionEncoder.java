package org.amberpath.gateway.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.RoutingActions;

/**
 * Encodes the routing actions that one gateway takes in a batch as that gateway's element of the
 * reply's {@code parts} array. Nothing is written for a batch without actions. I/O errors are
 * thrown as {@link UncheckedIOException}.
 */
final class ActionEncoder implements RoutingActions {
  private static final long NANOS_PER_MICRO = 1000;
  private static final int MICROS_SCALE = 6;

  private final int gatewayNumber;
  private final CacheIndex caches;
  private JsonGenerator reply;
  private boolean partStarted;

  /**
   * Creates an encoder for one gateway.
   *
   * @param gatewayNumber the simulator's number of the gateway
   * @param caches the addresses of the gateway's caches
   */
  ActionEncoder(int gatewayNumber, CacheIndex caches) {
    this.gatewayNumber = gatewayNumber;
    this.caches = caches;
  }

  /** Starts a batch: actions are written to the given reply until {@link #finishBatch}. */
  void beginBatch(JsonGenerator batchReply) {
    reply = batchReply;
    partStarted = false;
  }

  /** Ends the batch: closes the gateway's element of the reply if any action was written. */
  void finishBatch() throws IOException {
    if (partStarted) {
      reply.writeEndArray();
      reply.writeEndObject();
    }
  }

  @Override
  public void sendAttempt(AttemptCommand command) {
    write(
        "serve-via",
        () -> {
          reply.writeNumberField("op-id", command.requestId());
          reply.writeStringField("cache", caches.address(command.endpoint()));
          writeSeconds("try-until-s", command.deadlineNanos());
          reply.writeStringField("supplier", caches.address(command.source()));
          if (command.maxAgeNanos() > 0) {
            writeSeconds("oldness-s", command.maxAgeNanos());
          }
          reply.writeNumberField("hold-rank", command.rank());
          reply.writeNumberField("switches", command.options());
        });
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {
    write(
        "overload-reply",
        () -> {
          reply.writeNumberField("op-id", requestId);
          if (retryAfterNanos > 0) {
            writeSeconds("wait-s", retryAfterNanos);
          }
        });
  }

  @Override
  public void fail(long requestId) {
    write("abort", () -> reply.writeNumberField("op-id", requestId));
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    write(
        "call-off",
        () -> {
          reply.writeNumberField("op-id", requestId);
          reply.writeNumberField("copy", attempt);
        });
  }

  @Override
  public void scheduleTimer(long delayNanos, String handle) {
    write(
        "remind",
        () -> {
          writeSeconds("delay-s", delayNanos);
          reply.writeStringField("handle", handle);
        });
  }

  @Override
  public void subscribeEndpoints() {
    write("keep-informed", () -> reply.writeBooleanField("enable", true));
  }

  /** Writes that the router threw an exception in this batch. */
  void routerFailed(RuntimeException failure) {
    write("broken", () -> reply.writeStringField("body-text", String.valueOf(failure)));
  }

  /** Writes the fields of one action, without its verb. */
  private interface FieldWriter {
    void write() throws IOException;
  }

  private void write(String verb, FieldWriter fieldWriter) {
    try {
      if (!partStarted) {
        partStarted = true;
        reply.writeStartObject();
        reply.writeNumberField("i", gatewayNumber);
        reply.writeArrayFieldStart("cmds");
      }
      reply.writeStartObject();
      reply.writeStringField("verb", verb);
      fieldWriter.write();
      reply.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes a time in seconds with six decimals, truncated to whole microseconds. */
  private void writeSeconds(String key, long nanos) throws IOException {
    reply.writeFieldName(key);
    reply.writeNumber(BigDecimal.valueOf(nanos / NANOS_PER_MICRO, MICROS_SCALE));
  }
}
