package org.amberpath.gateway;

import java.util.function.BooleanSupplier;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.ClientHandler;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.routing.LoadShedder;

/** First stage: what clients say, with the time at which it had come whole. */
final class RequestReceiver implements ClientHandler {
  private final Clock clock;
  private final EventLoopLagMonitor standstill;
  private final InFlightRequests book;
  private final AdmissionControl admit;
  private final RoutingStage route;
  private final ResponseWriter relay;
  private final ClientConnections clients;
  private final ProtocolErrorLog complaints;
  private final LoadShedder pace;
  private final BooleanSupplier ready;

  RequestReceiver(
      Clock clock,
      EventLoopLagMonitor standstill,
      InFlightRequests book,
      AdmissionControl admit,
      RoutingStage route,
      ResponseWriter relay,
      ClientConnections clients,
      ProtocolErrorLog complaints,
      LoadShedder pace,
      BooleanSupplier ready) {
    this.clock = clock;
    this.standstill = standstill;
    this.book = book;
    this.admit = admit;
    this.route = route;
    this.relay = relay;
    this.clients = clients;
    this.complaints = complaints;
    this.pace = pace;
    this.ready = ready;
  }

  @Override
  public boolean admitsRequest() {
    return pace.takes();
  }

  @Override
  public long retryAfterNanos() {
    return pace.away();
  }

  @Override
  public void requestReceived(ClientConnection from, long number, DecodedRequest get) {
    long now = clock.now();
    admit.get(from, number, get, now, standstill.late(from, now));
  }

  @Override
  public void requestCancelled(ClientConnection from, long number) {
    left(book.unanswered(from, number));
  }

  @Override
  public boolean isReady() {
    return ready.getAsBoolean();
  }

  @Override
  public void protocolViolated(ClientConnection from, String why) {
    complaints.add(from, why);
    for (ClientRequest get : book.unanswered(from)) {
      relay.errored(get, "the protocol was violated on this connection");
      route.arrived(get, to -> to.left(get.id));
    }
  }

  @Override
  public void connectionEnded(ClientConnection from) {
    clients.remove(from);
    book.unanswered(from).forEach(this::left);
  }

  @Override
  public void descriptorReleased(ClientConnection from) {
    clients.released(from);
  }

  private void left(ClientRequest get) {
    if (get != null) {
      relay.left(get);
      route.arrived(get, to -> to.left(get.id));
    }
  }
}
