package org.amberpath.gateway.pipeline;

import org.amberpath.routing.AttemptCommand;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.RoutingActions;

/** Carries out the router's decisions, each at once when the router makes it. */
final class RoutingActionExecutor implements RoutingActions {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PipelineContext context;
  private final RoutingStage routingStage;
  private final AttemptSender attemptSender;
  private final ResponseWriter responseWriter;

  /** Null if no observer is set. */
  private EndpointObserver observer;

  RoutingActionExecutor(
      PipelineContext context,
      RoutingStage routingStage,
      AttemptSender attemptSender,
      ResponseWriter responseWriter) {
    this.context = context;
    this.routingStage = routingStage;
    this.attemptSender = attemptSender;
    this.responseWriter = responseWriter;
  }

  /** Sets the one observer of the router's decisions about endpoints. */
  void setObserver(EndpointObserver endpointObserver) {
    observer = endpointObserver;
  }

  private ClientRequest find(long requestId) {
    return context.inFlight().find(requestId);
  }

  @Override
  public void sendAttempt(AttemptCommand command) {
    attemptSender.send(find(command.requestId()), command);
  }

  @Override
  public void limitRetryStart(long requestId, long timeNanos) {
    attemptSender.setSendBy(find(requestId), timeNanos);
  }

  @Override
  public void reject(long requestId, long retryAfterNanos) {
    responseWriter.reject(find(requestId), retryAfterNanos);
  }

  @Override
  public void fail(long requestId) {
    responseWriter.fail(find(requestId), "upstream request failed");
  }

  @Override
  public void cancelAttempt(long requestId, int attemptIndex) {
    attemptSender.cancel(find(requestId), attemptIndex);
  }

  @Override
  public void scheduleTimer(long delayNanos, String handle) {
    context
        .vertx()
        .setTimer(
            Math.max(1, delayNanos / NANOS_PER_MILLI),
            timer -> routingStage.enqueue(null, events -> events.timerFired(handle)));
  }

  @Override
  public void endpointHealthChanged(int endpoint, EndpointHealthStatus health) {
    if (observer != null) {
      observer.healthChanged(endpoint, health);
    }
  }

  @Override
  public void endpointWarmingUp(int endpoint, long untilNanos) {
    if (observer != null) {
      observer.warmingUp(endpoint, untilNanos);
    }
  }

  /** Does nothing: the gateway always receives all changes of the endpoint list. */
  @Override
  public void subscribeEndpoints() {}
}
