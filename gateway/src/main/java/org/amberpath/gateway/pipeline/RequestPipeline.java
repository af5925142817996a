package org.amberpath.gateway.pipeline;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.amberpath.gateway.client.ClientConnections;
import org.amberpath.gateway.client.ClientHandler;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEventHandler;

/** The stages of a gateway's pipeline, connected with each other. */
public final class RequestPipeline {
  private final PipelineContext context;
  private final ClientConnections clients;
  private final CacheEndpoints endpoints;
  private final RoutingStage routingStage;
  private final RequestReceiver receiver;
  private final ResponseWriter responseWriter;
  private final AdmissionControl admissionControl;

  /**
   * Connects the stages.
   *
   * @param serving whether the gateway's phase lets clients in
   */
  public RequestPipeline(
      Vertx vertx,
      PipelineConfig config,
      Clock clock,
      BatchRouter router,
      BooleanSupplier serving) {
    context = PipelineContext.create(vertx, clock, config);
    InFlightRequests inFlight = context.inFlight();
    responseWriter = new ResponseWriter(vertx, inFlight);
    clients = new ClientConnections(vertx, config.maxClientConnections(), clock::nowNanos);
    endpoints = new CacheEndpoints(vertx, config.caches(), clock, context.protocolErrors());
    AttemptSender attemptSender =
        new AttemptSender(context, endpoints, responseWriter, config.routing());
    routingStage = new RoutingStage(context, router, attemptSender, responseWriter);
    attemptSender.setRoutingStage(routingStage);
    endpoints.setRoutingStage(routingStage);
    admissionControl =
        new AdmissionControl(config.routing(), config.maxInFlight(), inFlight, routingStage);
    receiver =
        new RequestReceiver(
            context,
            admissionControl,
            routingStage,
            responseWriter,
            clients,
            () -> serving.getAsBoolean() && endpoints.hasEndpointList());
  }

  /** What its stages share. */
  public PipelineContext context() {
    return context;
  }

  /** All connections of clients. */
  public ClientConnections clients() {
    return clients;
  }

  /** Where clients' requests come in. */
  public ClientHandler clientHandler() {
    return receiver;
  }

  /** Where endpoints, drains and purges come in. */
  public EndpointListener endpointListener() {
    return endpoints;
  }

  /** The id of the endpoint at an index that the router has used. */
  public String endpointId(int index) {
    return endpoints.endpointId(index);
  }

  /** The index of an endpoint that is up; -1 where there is none of this id. */
  public int endpointIndex(String id) {
    return endpoints.indexOf(id);
  }

  /** Sets the one observer of the router's decisions about endpoints. */
  public void setEndpointObserver(EndpointObserver observer) {
    routingStage.setObserver(observer);
  }

  /** Gives the router an event that goes ahead of all requests. */
  public void enqueueDiscovery(Consumer<RoutingEventHandler> event) {
    routingStage.enqueueDiscovery(event);
  }

  /** The journal has replied or failed: what waited for that may be routed. */
  public void discoveryPolled() {
    routingStage.discoveryPolled();
  }

  /** Lets synthetic requests be made, modelled on those of clients from now on. */
  public SyntheticRequests enableSyntheticRequests(RoutingConfig config) {
    SyntheticRequests synthetic =
        new SyntheticRequests(config, context.clock(), context.inFlight(), routingStage, endpoints);
    admissionControl.setSyntheticRequests(synthetic);
    return synthetic;
  }

  /** Closes what has been idle or incomplete for too long, and logs peers' errors. */
  public void sweep() {
    clients.sweep();
    endpoints.sweep();
    context.protocolErrors().sweep();
  }

  /** Fails every request that has no response. */
  public void failUnanswered(String reason) {
    for (ClientRequest request : context.inFlight().allUnanswered()) {
      responseWriter.fail(request, reason);
      routingStage.enqueueCancelled(request);
    }
  }

  /**
   * Whether every request that was read has its response. A request that has come in part counts as
   * open, while its client may still send the rest.
   */
  public boolean isDrained() {
    return context.inFlight().unansweredCount() == 0 && !clients.hasPartialMessage();
  }

  /** Requests, endpoints and clients' connections that are held. */
  public int resourceCount() {
    return context.inFlight().size() + endpoints.size() + clients.size();
  }

  /** Closes the connections to caches. */
  public void close() {
    endpoints.close();
  }
}
