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

/**
 * The request pipeline of a gateway: creates the stages, connects them and is the entry point for
 * the gateway's lifecycle.
 */
public final class RequestPipeline {
  private final PipelineContext context;
  private final ClientConnections clients;
  private final CacheEndpoints endpoints;
  private final RoutingStage routingStage;
  private final RequestReceiver receiver;
  private final ResponseWriter responseWriter;
  private final AdmissionControl admissionControl;

  /**
   * Creates and connects the stages.
   *
   * @param serving whether the gateway is in its serving phase; a client's status request is
   *     answered with true only then
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
    admissionControl = new AdmissionControl(config, context, routingStage);
    receiver =
        new RequestReceiver(
            context,
            admissionControl,
            routingStage,
            responseWriter,
            clients,
            () -> serving.getAsBoolean() && endpoints.hasEndpointList());
  }

  /** Returns the objects that the stages share. */
  public PipelineContext context() {
    return context;
  }

  /** Returns the client connections. */
  public ClientConnections clients() {
    return clients;
  }

  /** Returns the handler of clients' messages, which is the first stage. */
  public ClientHandler clientHandler() {
    return receiver;
  }

  /** Returns the listener that discovery reports endpoints, drains and purges to. */
  public EndpointListener endpointListener() {
    return endpoints;
  }

  /** Returns the id of the endpoint at an index that the router uses. */
  public String endpointId(int index) {
    return endpoints.endpointId(index);
  }

  /** Returns the index of the endpoint with this id; -1 if there is none or it is not up. */
  public int endpointIndex(String id) {
    return endpoints.indexOf(id);
  }

  /** Sets the one observer of the router's decisions about endpoints. */
  public void setEndpointObserver(EndpointObserver observer) {
    routingStage.setObserver(observer);
  }

  /** Queues an event for the router, ahead of all events of requests. */
  public void enqueueDiscovery(Consumer<RoutingEventHandler> event) {
    routingStage.enqueueDiscovery(event);
  }

  /**
   * Called when the journal has replied or failed: batches that waited for its reply may be routed.
   */
  public void discoveryPolled() {
    routingStage.discoveryPolled();
  }

  /**
   * Creates the sender of synthetic requests, and from now on records clients' requests as models
   * for them.
   */
  public SyntheticRequests enableSyntheticRequests(RoutingConfig config) {
    SyntheticRequests synthetic =
        new SyntheticRequests(config, context.clock(), context.inFlight(), routingStage, endpoints);
    admissionControl.setSyntheticRequests(synthetic);
    return synthetic;
  }

  /**
   * Closes connections that have been idle, or in the middle of a message, for too long, and logs
   * protocol errors. Called periodically.
   */
  public void sweep() {
    clients.sweep();
    endpoints.sweep();
    context.protocolErrors().flush();
  }

  /**
   * Fails every unanswered request, including synthetic ones.
   *
   * @param reason the error text that clients are sent
   */
  public void failUnanswered(String reason) {
    for (ClientRequest request : context.inFlight().allUnanswered()) {
      responseWriter.fail(request, reason);
      routingStage.enqueueCancelled(request);
    }
  }

  /**
   * Returns whether every request of a client has its response. A partially received request counts
   * as unanswered, since the client may still send the rest.
   */
  public boolean isDrained() {
    return context.inFlight().unansweredCount() == 0 && !clients.hasPartialMessage();
  }

  /** Returns how many requests, endpoints and client connections are held. */
  public int resourceCount() {
    return context.inFlight().size() + endpoints.size() + clients.descriptorCount();
  }

  /** Closes all connections to caches. */
  public void close() {
    endpoints.close();
  }
}
