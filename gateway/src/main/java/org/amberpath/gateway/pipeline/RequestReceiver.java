package org.amberpath.gateway.pipeline;

import java.util.function.BooleanSupplier;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.ClientConnections;
import org.amberpath.gateway.client.ClientHandler;
import org.amberpath.gateway.client.DecodedRequest;

/**
 * First stage of the pipeline: receives each decoded request once its last byte was read, and each
 * cancellation, protocol error and disconnect of a client.
 */
final class RequestReceiver implements ClientHandler {
  private final PipelineContext context;
  private final AdmissionControl admissionControl;
  private final RoutingStage routingStage;
  private final ResponseWriter responseWriter;
  private final ClientConnections clients;
  private final BooleanSupplier ready;

  RequestReceiver(
      PipelineContext context,
      AdmissionControl admissionControl,
      RoutingStage routingStage,
      ResponseWriter responseWriter,
      ClientConnections clients,
      BooleanSupplier ready) {
    this.context = context;
    this.admissionControl = admissionControl;
    this.routingStage = routingStage;
    this.responseWriter = responseWriter;
    this.clients = clients;
    this.ready = ready;
  }

  @Override
  public boolean admitsRequest() {
    return context.loadShedder().tryAdmit();
  }

  @Override
  public long retryAfterNanos() {
    return context.loadShedder().retryAfterNanos();
  }

  @Override
  public void requestReceived(ClientConnection client, long messageId, DecodedRequest decoded) {
    long nowNanos = context.clock().nowNanos();
    long lagNanos = context.lagMonitor().lagNanos(client, nowNanos);
    admissionControl.receive(client, messageId, decoded, nowNanos, lagNanos);
  }

  @Override
  public void requestShed(ClientConnection client, String reason) {
    context.protocolErrors().add(client, reason);
  }

  @Override
  public void requestCancelled(ClientConnection client, long messageId) {
    cancel(context.inFlight().findUnanswered(client, messageId));
  }

  @Override
  public boolean isReady() {
    return ready.getAsBoolean();
  }

  @Override
  public void protocolViolated(ClientConnection client, String error) {
    context.protocolErrors().add(client, error);
    for (ClientRequest request : context.inFlight().unansweredOf(client)) {
      responseWriter.fail(request, "protocol error on this connection");
      routingStage.enqueueCancelled(request);
    }
  }

  @Override
  public void connectionEnded(ClientConnection client) {
    clients.remove(client);
    context.inFlight().unansweredOf(client).forEach(this::cancel);
  }

  @Override
  public void descriptorReleased(ClientConnection client) {
    clients.descriptorReleased(client);
  }

  private void cancel(ClientRequest request) {
    if (request != null) {
      responseWriter.cancel(request);
      routingStage.enqueueCancelled(request);
    }
  }
}
