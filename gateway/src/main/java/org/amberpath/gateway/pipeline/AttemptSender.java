package org.amberpath.gateway.pipeline;

import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.client.ByteString;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.ResponseDetail;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.UsedRequestIds;

/**
 * Fourth stage of the pipeline: sends the attempts that the router decides on to endpoints, and
 * reports the outcome of each attempt to the router once.
 */
final class AttemptSender implements OutboundAttempt.Listener {
  private static final Logger LOG = Logger.getLogger(AttemptSender.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int INITIAL_FIELDS_BYTES = 160;

  /** The flags of the cache protocol for the bits of {@link AttemptCommand#options()}, by bit. */
  private static final String[] FLAG_NAMES = {"join", "held", "nocopy", "renew"};

  private final PipelineContext context;
  private final CacheEndpoints endpoints;
  private final ResponseWriter responseWriter;
  private final RoutingConfig config;
  private RoutingStage routingStage;

  AttemptSender(
      PipelineContext context,
      CacheEndpoints endpoints,
      ResponseWriter responseWriter,
      RoutingConfig config) {
    this.context = context;
    this.endpoints = endpoints;
    this.responseWriter = responseWriter;
    this.config = config;
  }

  /** Sets the stage that outcomes are reported to; called once, before any attempt is sent. */
  void setRoutingStage(RoutingStage stage) {
    routingStage = stage;
  }

  /**
   * Makes an attempt and starts its timeout. An attempt beyond the configured maximum per request,
   * or of an answered request, ends as {@link AttemptOutcome#NOT_SENT} at once.
   *
   * @param request the request; null if it is finished, then nothing is done
   */
  void send(ClientRequest request, AttemptCommand command) {
    if (request == null) {
      return;
    }
    long nowNanos = context.clock().nowNanos();
    OutboundAttempt attempt = createAttempt(request, command, nowNanos);
    request.attempts.add(attempt);
    request.pendingAttempts++;
    if (request.answered || attempt.plan.index() >= config.retries().maxAttempts()) {
      attempt.endUnsent();
      return;
    }
    attempt.timeoutTimer =
        context
            .vertx()
            .setTimer(
                millisRoundedUp(attempt.plan.deadlineNanos() - nowNanos),
                timer -> attempt.timeOut());
    attempt.send();
  }

  private static long millisRoundedUp(long nanos) {
    return Math.max(1, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  private OutboundAttempt createAttempt(
      ClientRequest request, AttemptCommand command, long nowNanos) {
    long commandDeadlineNanos = command.deadlineNanos();
    OutboundAttempt.Plan plan =
        new OutboundAttempt.Plan(
            request,
            request.attempts.size(),
            command.endpoint(),
            command.source(),
            nowNanos,
            context.lagMonitor().totalLagNanos(),
            commandDeadlineNanos <= 0
                ? request.deadlineNanos
                : Math.min(commandDeadlineNanos, request.deadlineNanos),
            !config.trafficClass(request.trafficClass).neverCached());
    return new OutboundAttempt(
        plan, encodeFields(request, command), endpoints.pool(command.endpoint()), this);
  }

  /**
   * Retries the attempts that were deferred because discovery or the clients' sockets had to be
   * read first.
   */
  void sendDeferred() {
    endpoints.retryWaiting();
  }

  /**
   * Encodes the fields of the cache protocol, except for the time that is left, which is added when
   * the command is written.
   */
  private byte[] encodeFields(ClientRequest request, AttemptCommand command) {
    DecodedRequest decoded = request.decoded;
    ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_FIELDS_BYTES);
    appendField(out, "kind=", decoded.trafficClass());
    appendField(out, ",obj=", decoded.objectName());
    appendField(out, ",seg=", decoded.partName());
    if (command.source() != command.endpoint()) {
      appendField(out, ",miss=", endpoints.endpointId(command.source()));
    }
    if (command.rank() > 0) {
      appendField(out, ",prio=", Integer.toString(command.rank()));
    }
    if (command.maxAgeNanos() > 0) {
      long maxAgeMillis = Math.max(1, command.maxAgeNanos() / NANOS_PER_MILLI);
      appendField(out, ",within=", Long.toString(maxAgeMillis));
    }
    appendFlags(out, command.options());
    if (!decoded.knownTag().isEmpty()) {
      appendField(out, ",mine=", decoded.knownTag());
    }
    if (!decoded.idempotencyKey().isEmpty()) { // Endpoints detect repeated requests by it.
      appendField(out, ",token=", decoded.idempotencyKey());
    }
    return out.toByteArray();
  }

  private static void appendFlags(ByteArrayOutputStream out, int flags) {
    String separator = ",f=";
    for (int bit = 0; bit < FLAG_NAMES.length; bit++) {
      if ((flags & 1 << bit) != 0) {
        appendField(out, separator, FLAG_NAMES[bit]);
        separator = "+";
      }
    }
  }

  private static void appendField(ByteArrayOutputStream out, String name, String value) {
    appendField(out, name, ByteString.of(value.getBytes(StandardCharsets.UTF_8)));
  }

  private static void appendField(ByteArrayOutputStream out, String name, ByteString value) {
    out.writeBytes(name.getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(value.array());
  }

  /**
   * Sets the clock time after which no later attempt of the request is written; does nothing for a
   * finished request (null).
   */
  void setSendBy(ClientRequest request, long timeNanos) {
    if (request != null) {
      request.sendByNanos = timeNanos;
    }
  }

  /** Cancels an attempt, unless it has ended or its request is finished (null). */
  void cancel(ClientRequest request, int index) {
    if (request != null && index < request.attempts.size()) {
      request.attempts.get(index).cancel();
    }
  }

  /**
   * Writes the first successful response to the client, and reports every outcome to the router.
   */
  @Override
  public void attemptEnded(
      OutboundAttempt attempt, AttemptOutcome outcome, ResponseDetail detail, Buffer body) {
    OutboundAttempt.Plan plan = attempt.plan;
    ClientRequest request = plan.request();
    context.vertx().cancelTimer(attempt.timeoutTimer);
    request.pendingAttempts--;
    if (attempt.isWritten()
        && UsedRequestIds.isUsedUp(
            outcome, config.trafficClass(request.trafficClass).idempotency())) {
      context.inFlight().markUsed(request, context.clock().nowNanos());
    }
    request.endpointResponded |=
        outcome == AttemptOutcome.SUCCEEDED || outcome == AttemptOutcome.NOT_CACHED;
    if (outcome == AttemptOutcome.SUCCEEDED) {
      writeResponse(request, body);
    }
    // This gateway's own lag is not counted as response time of the endpoint.
    long lagNanos = context.lagMonitor().totalLagNanos() - plan.lagAtStartNanos();
    long durationNanos = Math.max(0, context.clock().nowNanos() - plan.startedAtNanos() - lagNanos);
    boolean answered = request.answered;
    routingStage.enqueue(
        request,
        events ->
            events.attemptEnded(
                new AttemptResult(
                    request.id,
                    plan.index(),
                    plan.endpoint(),
                    outcome,
                    durationNanos,
                    answered,
                    detail)));
    context.inFlight().removeIfFinished(request);
  }

  /**
   * Writes a response to the client and logs a failure. Guards the connection to the endpoint, and
   * the other commands in flight on it, against a failure of the client's connection.
   */
  private void writeResponse(ClientRequest request, Buffer body) {
    try {
      responseWriter.writeBody(request, body);
    } catch (RuntimeException e) {
      LOG.log(
          Level.SEVERE,
          "request " + request.requestId + ": the response could not be written to the client",
          e);
    }
  }
}
