package amberpath.gateway;

import amberpath.msgpack.ClientConnection;
import amberpath.msgpack.ClientGet;
import amberpath.msgpack.ClientHandler;
import java.util.List;
import java.util.function.BooleanSupplier;

/** First stage: what clients say, with the time at which it had come whole. */
final class TakeIn implements ClientHandler {
  private final Clock clock;
  private final Book book;
  private final Admit admit;
  private final Route route;
  private final Relay relay;
  private final BooleanSupplier ready;

  TakeIn(Clock clock, Book book, Admit admit, Route route, Relay relay, BooleanSupplier ready) {
    this.clock = clock;
    this.book = book;
    this.admit = admit;
    this.route = route;
    this.relay = relay;
    this.ready = ready;
  }

  @Override public void get(ClientConnection from, long number, ClientGet get) {
    admit.get(from, number, get, clock.now() + get.allow());
  }

  @Override public void withdrawn(ClientConnection from, long number) {
    left(book.unanswered(from, number));
  }

  @Override public boolean ready() {
    return ready.getAsBoolean();
  }

  @Override public void closed(ClientConnection from) {
    List.copyOf(book.unanswered(from)).forEach(this::left);
  }

  private void left(OpenGet get) {
    if (get != null) {
      relay.left(get);
      route.arrived(get, to -> to.left(get.id));
    }
  }
}
