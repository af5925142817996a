package org.amberpath.gateway.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.RoutingActions;

/**
 * Encodes one gateway's actions of a round as a part of the simulator's reply; a round without
 * actions writes nothing. Errors in writing are thrown unchecked.
 */
final class ActionEncoder implements RoutingActions {
  private static final long NANOS_PER_MICRO = 1000;
  private static final int MICROS_SCALE = 6;

  private final int gateway;
  private final CacheIndex caches;
  private JsonGenerator reply;
  private boolean partStarted;

  /** An encoder for the gateway of this number. */
  ActionEncoder(int gateway, CacheIndex caches) {
    this.gateway = gateway;
    this.caches = caches;
  }

  /** Writes the following actions to a reply, until {@link #finish}. */
  void begin(JsonGenerator to) {
    reply = to;
    partStarted = false;
  }

  /** Completes the part of the reply, if there is one. */
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

  /** Reports that the decisions failed in this round. */
  void failed(RuntimeException failure) {
    write("broken", () -> reply.writeStringField("body-text", String.valueOf(failure)));
  }

  /** Writes the fields of one action. */
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

  /** A time in seconds with six decimals; what is below a microsecond is cut off. */
  private void writeSeconds(String key, long nanos) throws IOException {
    reply.writeFieldName(key);
    reply.writeNumber(BigDecimal.valueOf(nanos / NANOS_PER_MICRO, MICROS_SCALE));
  }
}
