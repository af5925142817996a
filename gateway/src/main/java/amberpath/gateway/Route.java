package amberpath.gateway;

import amberpath.Arrivals;
import amberpath.Arrivals.Events;
import amberpath.Decisions;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Third stage: what a turn of the loop brought is one round of the decisions, carried out at once. */
final class Route implements Decisions, Arrivals {
  private static final Logger LOG = Logger.getLogger(Route.class.getName());
  private static final long BACKSTOP_MS = 25;

  /** The decisions: one call a round. */
  interface Rounds {
    void round(long now, Arrivals in, Decisions to);
  }

  private record Arrival(OpenGet get, Consumer<Events> event) {
  }

  private final Vertx vertx;
  private final Clock clock;
  private final Rounds decisions;
  private final Book book;
  private final Send send;
  private final Relay relay;
  private List<Arrival> arrivals = new ArrayList<>();
  private List<Arrival> round = List.of();

  Route(Vertx vertx, Clock clock, Rounds decisions, Book book, Send send, Relay relay) {
    this.vertx = vertx;
    this.clock = clock;
    this.decisions = decisions;
    this.book = book;
    this.send = send;
    this.relay = relay;
  }

  void get(OpenGet get) {
    long left = get.due - clock.now();
    get.backstop = vertx.setTimer(Math.max(1, left / 1_000_000) + BACKSTOP_MS, late -> {
      relay.errored(get, "late");
      arrived(get, to -> to.left(get.id));
    });
    arrived(get, to -> to.get(get.id, get.ds, get.asked.objectId(), get.asked.group(), get.asked.partNumber(),
        get.due - clock.now(), get.asked.kb(), false));
  }

  /** Takes an event into this turn's round; get is the one that it belongs to, if any. */
  void arrived(OpenGet get, Consumer<Events> event) {
    if (arrivals.isEmpty()) {
      vertx.runOnContext(turn -> round());
    }
    arrivals.add(new Arrival(get, event));
    if (get != null) {
      get.events++;
    }
  }

  private void round() {
    round = arrivals;
    arrivals = new ArrayList<>();
    try {
      decisions.round(clock.now(), this, this);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "a round failed", e);
    }
  }

  /** A failure in the decisions on one GET ends that GET and no other. */
  @Override public void replay(Events to) {
    for (Arrival arrival : round) {
      try {
        arrival.event.accept(to);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "the decisions failed", e);
        if (arrival.get != null && arrival.get.out == 0) {
          relay.errored(arrival.get, "internal error");
        }
      } finally {
        if (arrival.get != null) {
          arrival.get.events--;
          book.close(arrival.get);
        }
      }
    }
  }

  @Override public void forward(long get, int cache, long until, int source, long age, int rank, int switches) {
    send.forward(book.get(get), cache, until, source, age, rank, switches);
  }

  @Override public void shed(long get, long wait) {
    relay.shed(book.get(get), wait);
  }

  @Override public void errored(long get) {
    relay.errored(book.get(get), "not returned");
  }

  @Override public void callOff(long get, int copy) {
    send.callOff(book.get(get), copy);
  }

  @Override public void wake(long delay, String handle) {
    vertx.setTimer(Math.max(1, delay / 1_000_000), due -> arrived(null, to -> to.woken(handle)));
  }

  /** The journal is always followed. */
  @Override public void watchList() {
  }
}
