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

/** Fourth stage: sends attempts to endpoints; each ends once, with its outcome. */
final class AttemptSender implements OutboundAttempt.Listener {
  private static final Logger LOG = Logger.getLogger(AttemptSender.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int USUAL_FIELDS_BYTES = 160;

  /** The endpoints' names for the bits of {@link AttemptCommand#options()}. */
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

  /** Sets the stage that is notified of outcomes; called once, before anything is sent. */
  void setRoutingStage(RoutingStage stage) {
    routingStage = stage;
  }

  /**
   * Makes an attempt; does nothing for a request that is finished (null). One past the bound on
   * attempts, or of an answered request, ends as not sent.
   */
  void send(ClientRequest request, AttemptCommand command) {
    if (request == null) {
      return;
    }
    long nowNanos = context.clock().nowNanos();
    OutboundAttempt attempt = create(request, command, nowNanos);
    request.attempts.add(attempt);
    request.pendingAttempts++;
    if (request.answered || attempt.plan.index() >= config.retries().maxAttempts()) {
      attempt.skip();
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

  private OutboundAttempt create(ClientRequest request, AttemptCommand command, long nowNanos) {
    long untilNanos = command.deadlineNanos();
    OutboundAttempt.Plan plan =
        new OutboundAttempt.Plan(
            request,
            request.attempts.size(),
            command.endpoint(),
            command.source(),
            nowNanos,
            context.lagMonitor().totalLagNanos(),
            untilNanos <= 0 ? request.deadlineNanos : Math.min(untilNanos, request.deadlineNanos),
            !config.trafficClass(request.trafficClass).neverCached());
    return new OutboundAttempt(
        plan, encodeFields(request, command), endpoints.pool(command.endpoint()), this);
  }

  /** Sends what was deferred while discovery or the sockets had to be read first. */
  void sendDeferred() {
    endpoints.retryWaiting();
  }

  /** The fields of the endpoints' protocol, without the time that is left. */
  private byte[] encodeFields(ClientRequest request, AttemptCommand command) {
    DecodedRequest decoded = request.decoded;
    ByteArrayOutputStream out = new ByteArrayOutputStream(USUAL_FIELDS_BYTES);
    put(out, "kind=", decoded.trafficClass());
    put(out, ",obj=", decoded.objectName());
    put(out, ",seg=", decoded.partName());
    if (command.source() != command.endpoint()) {
      put(out, ",miss=", endpoints.endpointId(command.source()));
    }
    if (command.rank() > 0) {
      put(out, ",prio=", Integer.toString(command.rank()));
    }
    if (command.maxAgeNanos() > 0) {
      long maxAgeMillis = Math.max(1, command.maxAgeNanos() / NANOS_PER_MILLI);
      put(out, ",within=", Long.toString(maxAgeMillis));
    }
    putFlags(out, command.options());
    if (!decoded.knownTag().isEmpty()) {
      put(out, ",mine=", decoded.knownTag());
    }
    if (!decoded.idempotencyKey().isEmpty()) { // Endpoints know by it what they ran.
      put(out, ",token=", decoded.idempotencyKey());
    }
    return out.toByteArray();
  }

  private static void putFlags(ByteArrayOutputStream out, int flags) {
    String separator = ",f=";
    for (int bit = 0; bit < FLAG_NAMES.length; bit++) {
      if ((flags & 1 << bit) != 0) {
        put(out, separator, FLAG_NAMES[bit]);
        separator = "+";
      }
    }
  }

  private static void put(ByteArrayOutputStream out, String name, String value) {
    put(out, name, ByteString.of(value.getBytes(StandardCharsets.UTF_8)));
  }

  private static void put(ByteArrayOutputStream out, String name, ByteString value) {
    out.writeBytes(name.getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(value.array());
  }

  /** Lets no attempt of a request that is made from now on begin after a clock time. */
  void setSendBy(ClientRequest request, long timeNanos) {
    if (request != null) {
      request.sendByNanos = timeNanos;
    }
  }

  /** Cancels one attempt of a request, if it has not ended. */
  void cancel(ClientRequest request, int index) {
    if (request != null && index < request.attempts.size()) {
      request.attempts.get(index).cancel();
    }
  }

  /** The first response goes to the client; the router is notified of every outcome. */
  @Override
  public void attemptEnded(
      OutboundAttempt attempt, AttemptOutcome outcome, ResponseDetail note, Buffer body) {
    OutboundAttempt.Plan plan = attempt.plan;
    ClientRequest request = plan.request();
    context.vertx().cancelTimer(attempt.timeoutTimer);
    request.pendingAttempts--;
    request.endpointResponded |=
        outcome == AttemptOutcome.SUCCEEDED || outcome == AttemptOutcome.NOT_CACHED;
    if (outcome == AttemptOutcome.SUCCEEDED) {
      writeResponse(request, body);
    }
    // Guards endpoints against the blame for this gateway's own lag.
    long lagNanos = context.lagMonitor().totalLagNanos() - plan.lagBeforeNanos();
    long tookNanos = Math.max(0, context.clock().nowNanos() - plan.startedAtNanos() - lagNanos);
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
                    tookNanos,
                    answered,
                    note)));
    context.inFlight().removeIfFinished(request);
  }

  /**
   * Guards the endpoint's connection, and what else is in flight on it, against a client's fault.
   */
  private void writeResponse(ClientRequest request, Buffer body) {
    try {
      responseWriter.writeBody(request, body);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "a response could not be written", e);
    }
  }
}
