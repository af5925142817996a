package org.amberpath.gateway;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;

/** The stages of a gateway's pipeline, connected with each other. */
final class RequestPipeline {
  final PipelineContext context;
  final ClientConnections clients;
  final CacheEndpoints endpoints;
  final RoutingStage routingStage;
  final RequestReceiver receiver;
  private final ResponseWriter responseWriter;
  private final AdmissionControl admissionControl;

  /**
   * Connects the stages.
   *
   * @param serving whether the gateway's phase lets clients in
   */
  RequestPipeline(
      Vertx vertx,
      GatewayOptions options,
      Clock clock,
      RoutingStage.BatchRouter router,
      BooleanSupplier serving) {
    context = PipelineContext.create(vertx, clock, options);
    InFlightRequests inFlight = context.inFlight();
    responseWriter = new ResponseWriter(vertx, inFlight);
    clients = new ClientConnections(vertx, options.mostClients(), clock);
    endpoints = new CacheEndpoints(vertx, options, clock, context.protocolErrors());
    AttemptSender attemptSender =
        new AttemptSender(context, endpoints, responseWriter, options.routingConfig());
    routingStage = new RoutingStage(context, router, attemptSender, responseWriter);
    attemptSender.setRoutingStage(routingStage);
    endpoints.newsTo(routingStage);
    admissionControl =
        new AdmissionControl(options.routingConfig(), options.mostOpen(), inFlight, routingStage);
    receiver =
        new RequestReceiver(
            context,
            admissionControl,
            routingStage,
            responseWriter,
            clients,
            () -> serving.getAsBoolean() && endpoints.told());
  }

  /** Lets synthetic requests be made, modelled on those of clients from now on. */
  SyntheticRequests enableSyntheticRequests(GatewayOptions options) {
    SyntheticRequests synthetic =
        new SyntheticRequests(
            options.routingConfig(), context.clock(), context.inFlight(), routingStage, endpoints);
    admissionControl.setSyntheticRequests(synthetic);
    return synthetic;
  }

  /** Closes what has been idle or incomplete for too long, and logs peers' errors. */
  void sweep() {
    clients.sweep();
    endpoints.sweep();
    context.protocolErrors().sweep();
  }

  /** Fails every request that has no response. */
  void failUnanswered(String reason) {
    for (ClientRequest request : context.inFlight().allUnanswered()) {
      responseWriter.errored(request, reason);
      routingStage.enqueueCancelled(request);
    }
  }

  /**
   * Whether every request that was read has its response. A request that has come in part counts as
   * open, while its client may still send the rest.
   */
  boolean isDrained() {
    return context.inFlight().unansweredCount() == 0 && !clients.hasPartialMessage();
  }

  /** Requests, endpoints and clients' connections that are held. */
  int resourceCount() {
    return context.inFlight().size() + endpoints.size() + clients.size();
  }
}
