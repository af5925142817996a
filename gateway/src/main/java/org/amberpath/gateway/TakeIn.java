package org.amberpath.gateway;

import org.amberpath.routing.Pace;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.ClientGet;
import org.amberpath.gateway.client.ClientHandler;
import java.util.function.BooleanSupplier;

/** First stage: what clients say, with the time at which it had come whole. */
final class TakeIn implements ClientHandler {
  private final Clock clock;
  private final Standstill standstill;
  private final Book book;
  private final Admit admit;
  private final Route route;
  private final Relay relay;
  private final Clients clients;
  private final Complaints complaints;
  private final Pace pace;
  private final BooleanSupplier ready;

  TakeIn(Clock clock, Standstill standstill, Book book, Admit admit, Route route, Relay relay, Clients clients,
      Complaints complaints, Pace pace, BooleanSupplier ready) {
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

  @Override public boolean takes() {
    return pace.takes();
  }

  @Override public long away() {
    return pace.away();
  }

  @Override public void get(ClientConnection from, long number, ClientGet get) {
    long now = clock.now();
    admit.get(from, number, get, now, standstill.late(from, now));
  }

  @Override public void withdrawn(ClientConnection from, long number) {
    left(book.unanswered(from, number));
  }

  @Override public boolean ready() {
    return ready.getAsBoolean();
  }

  @Override public void broken(ClientConnection from, String why) {
    complaints.add(from, why);
    for (OpenGet get : book.unanswered(from)) {
      relay.errored(get, "the protocol was broken on this connection");
      route.arrived(get, to -> to.left(get.id));
    }
  }

  @Override public void closed(ClientConnection from) {
    clients.remove(from);
    book.unanswered(from).forEach(this::left);
  }

  @Override public void released(ClientConnection from) {
    clients.released(from);
  }

  private void left(OpenGet get) {
    if (get != null) {
      relay.left(get);
      route.arrived(get, to -> to.left(get.id));
    }
  }
}
