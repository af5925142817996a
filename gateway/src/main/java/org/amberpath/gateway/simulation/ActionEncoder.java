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

  private final int gateway;
  private final CacheIndex caches;
  private JsonGenerator reply;
  private boolean partStarted;

  /**
   * Creates an encoder for one gateway.
   *
   * @param gateway the simulator's number of the gateway
   * @param caches the addresses of the gateway's caches
   */
  ActionEncoder(int gateway, CacheIndex caches) {
    this.gateway = gateway;
    this.caches = caches;
  }

  /** Starts a batch: actions are written to the given reply until {@link #finish}. */
  void begin(JsonGenerator to) {
    reply = to;
    partStarted = false;
  }

  /** Ends the batch: closes the gateway's element of the reply if any action was written. */
  void finish() throws IOException {
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
  public void reject(long get, long wait) {
    write(
        "overload-reply",
        () -> {
          reply.writeNumberField("op-id", get);
          if (wait > 0) {
            writeSeconds("wait-s", wait);
          }
        });
  }

  @Override
  public void fail(long get) {
    write("abort", () -> reply.writeNumberField("op-id", get));
  }

  @Override
  public void cancelAttempt(long get, int copy) {
    write(
        "call-off",
        () -> {
          reply.writeNumberField("op-id", get);
          reply.writeNumberField("copy", copy);
        });
  }

  @Override
  public void scheduleTimer(long delay, String handle) {
    write(
        "remind",
        () -> {
          writeSeconds("delay-s", delay);
          reply.writeStringField("handle", handle);
        });
  }

  @Override
  public void subscribeEndpoints() {
    write("keep-informed", () -> reply.writeBooleanField("enable", true));
  }

  /** Writes that the router threw an exception in this batch. */
  void failed(RuntimeException failure) {
    write("broken", () -> reply.writeStringField("body-text", String.valueOf(failure)));
  }

  /** Writes the fields of one action, without its verb. */
  private interface Fields {
    void write() throws IOException;
  }

  private void write(String verb, Fields fields) {
    try {
      if (!partStarted) {
        partStarted = true;
        reply.writeStartObject();
        reply.writeNumberField("i", gateway);
        reply.writeArrayFieldStart("cmds");
      }
      reply.writeStartObject();
      reply.writeStringField("verb", verb);
      fields.write();
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
